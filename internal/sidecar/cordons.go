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

// cordonsFile holds the cordons in the folder that two versions of a sidecar share, for the case that the old
// one cannot send them any more when the new one starts. The platform empties the folder before any other
// start.
const (
	cordonsFile    = "dunlinsail.words"
	maxCordonsFile = 1 << 20
)

// setCordon cordons an endpoint by name or address, or lifts the cordon.
func (s *sidecar) setCordon(ctx context.Context, target string, out bool) error {
	set, known, err := s.core.SetCordon(ctx, target, out, takeover.Monotonic())
	switch {
	case err != nil:
		return err
	case !known:
		return admin.ErrUnknownEndpoint
	}
	s.lifecycle.cordonPeers.broadcast(set)
	s.saveCordons(ctx)
	return nil
}

// saveCordons writes the cordons down. A failure is logged, and no reason to reject the call: they hold here, and are
// handed over.
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

// writeCordons replaces the file of cordons.
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
	if err := os.WriteFile(temporary, encoded, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

// readCordons returns the cordons that another process of this sidecar has written.
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

// ReceiveCordons takes in cordons that were set at the process on the other side.
func (l *lifecycle) ReceiveCordons(payload []byte) {
	var cordons []cordon.Record
	if err := json.Unmarshal(payload, &cordons); err != nil {
		l.sidecar.log.Warn("cordons of the other process rejected", "error", err)
		return
	}
	l.sidecar.core.ReceiveCordons(cordons...)
}

// cordonPeers are the connections to other processes of this sidecar, to which cordons are sent. Its methods
// may be called from any goroutine.
type cordonPeers struct {
	mu    sync.Mutex
	conns []*takeover.Conn // replaced, never changed in place
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

// broadcast sends a cordon to all peers. A failure shows as the connection's end.
func (p *cordonPeers) broadcast(set cordon.Record) {
	p.mu.Lock()
	conns := p.conns
	p.mu.Unlock()
	encoded, err := json.Marshal([]cordon.Record{set})
	if err != nil {
		return
	}
	for _, conn := range conns {
		_ = conn.Write(takeover.Message{Kind: takeover.Cordons, Payload: encoded})
	}
}
