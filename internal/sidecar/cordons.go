package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"dunlinsail/internal/admin"
	"dunlinsail/internal/decide/cordon"
	"dunlinsail/internal/takeover"
)

const (
	// cordonsFile is the name of the file in the shared folder that stores the cordons. A successor reads it,
	// because its predecessor may have ended before it could send the cordons. The platform empties the folder
	// before every start that is not a hot restart.
	cordonsFile     = "dunlinsail.words"
	maxCordonsFile  = 1 << 20 // limit on the bytes that are read from cordonsFile
	cordonsFileMode = 0o600   // readable and writable by the sidecar's user only
)

// setCordon cordons an endpoint, given by name or address, or lifts its cordon. It returns
// admin.ErrUnknownEndpoint if the endpoint is not in the endpoint list.
func (s *sidecar) setCordon(ctx context.Context, target string, cordoned bool) error {
	record, inList, err := s.core.SetCordon(ctx, target, cordoned, takeover.Monotonic())
	switch {
	case err != nil:
		return err
	case !inList:
		return admin.ErrUnknownEndpoint
	}
	s.lifecycle.cordonPeers.Broadcast(record)
	s.saveCordons(ctx)
	return nil
}

// saveCordons writes all cordons to the shared folder. It only logs a failure, because the cordons are already in
// effect in this process and are also sent to a successor.
func (s *sidecar) saveCordons(ctx context.Context) {
	if s.config.SharedDir == "" {
		return
	}
	s.cordonsFileMu.Lock()
	defer s.cordonsFileMu.Unlock()
	if err := s.writeCordons(ctx); err != nil {
		s.log.Warn("cordons not written", "error", err)
	}
}

// writeCordons replaces cordonsFile by a rename, so that a reader never sees an incomplete file.
func (s *sidecar) writeCordons(ctx context.Context) error {
	cordons, err := s.core.Cordons(ctx)
	if err != nil {
		return err
	}
	encoded, err := json.Marshal(cordons)
	if err != nil {
		return err
	}
	path := filepath.Join(s.config.SharedDir, cordonsFile)
	temporaryPath := fmt.Sprintf("%s.%d", path, os.Getpid())
	if err := os.WriteFile(temporaryPath, encoded, cordonsFileMode); err != nil {
		return err
	}
	return os.Rename(temporaryPath, path)
}

// readCordons returns the cordons that another process of this sidecar wrote to the shared folder. It returns nil if
// there is no file, and logs the error and returns nil if the file cannot be read.
func (s *sidecar) readCordons() []cordon.Record {
	if s.config.SharedDir == "" {
		return nil
	}
	file, err := os.Open(filepath.Join(s.config.SharedDir, cordonsFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	var cordons []cordon.Record
	if err == nil {
		defer file.Close()
		err = json.NewDecoder(io.LimitReader(file, maxCordonsFile)).Decode(&cordons)
	}
	if err != nil {
		s.log.Warn("cordons not read", "error", err)
		return nil
	}
	return cordons
}

// ReceiveCordons applies cordons that the other process of a hot restart has sent.
func (l *lifecycle) ReceiveCordons(sender *takeover.Conn, payload []byte) {
	cordons, err := l.cordonPeers.Receive(sender, payload)
	if err != nil {
		l.sidecar.log.Warn("cordons of the other process rejected", "error", err)
		return
	}
	l.sidecar.core.ReceiveCordons(cordons...)
}
