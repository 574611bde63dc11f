package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"

	"dunlinsail/internal/admin"
	"dunlinsail/internal/decide/cordon"
	"dunlinsail/internal/takeover"
)

const (
	// cordonsFile is a file in the folder that the two processes of a hot restart share. The successor reads the
	// cordons from it when the predecessor ended before it could send them. The platform empties the folder before
	// every other start.
	cordonsFile     = "dunlinsail.words"
	maxCordonsFile  = 1 << 20 // bytes that are read of the file
	cordonsFileMode = 0o600   // the sidecar's user only
)

// setCordon cordons an endpoint, given by name or address, or lifts its cordon. An endpoint that is not in the list is
// admin.ErrUnknownEndpoint.
func (s *sidecar) setCordon(ctx context.Context, target string, cordoned bool) error {
	record, known, err := s.core.SetCordon(ctx, target, cordoned, takeover.Monotonic())
	switch {
	case err != nil:
		return err
	case !known:
		return admin.ErrUnknownEndpoint
	}
	s.lifecycle.cordonPeers.broadcast(record)
	s.saveCordons(ctx)
	return nil
}

// saveCordons writes all cordons to the shared folder. A failure is logged only, because the cordons are in effect in
// this process and are handed over to a successor.
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

// writeCordons replaces the file of cordons by a rename, so that a reader never sees a part of it.
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
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	if err := os.WriteFile(temporary, encoded, cordonsFileMode); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

// readCordons returns the cordons that another process of this sidecar wrote; nil if there are none. A file that
// cannot be read is logged and counts as none.
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

// ReceiveCordons applies cordons that were set at the process on the other side.
func (l *lifecycle) ReceiveCordons(payload []byte) {
	var cordons []cordon.Record
	if err := json.Unmarshal(payload, &cordons); err != nil {
		l.sidecar.log.Warn("cordons of the other process rejected", "error", err)
		return
	}
	l.sidecar.core.ReceiveCordons(cordons...)
}

// cordonPeers are the connections to other processes of this sidecar, to which cordons are sent. Its methods may be
// called from any goroutine.
type cordonPeers struct {
	mu    sync.Mutex
	conns []*takeover.Conn // its elements never change, since broadcast reads it without mu
}

func (p *cordonPeers) add(conn *takeover.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, conn)
}

func (p *cordonPeers) remove(conn *takeover.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.conns {
		if other == conn {
			p.conns = append(p.conns[:i:i], p.conns[i+1:]...)
			return
		}
	}
}

// broadcast sends a cordon to all peers. A failed write is ignored: the reader of that connection reports its end.
func (p *cordonPeers) broadcast(record cordon.Record) {
	p.mu.Lock()
	conns := p.conns
	p.mu.Unlock()
	encoded, err := json.Marshal([]cordon.Record{record})
	if err != nil {
		return
	}
	for _, conn := range conns {
		_ = conn.Write(takeover.Message{Kind: takeover.Cordons, Payload: encoded})
	}
}
