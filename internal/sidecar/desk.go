package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"

	"dunlinsail/internal/admin"
	"dunlinsail/internal/decide/cordon"
	"dunlinsail/internal/frontend/http1"
	"dunlinsail/internal/takeover"
)

// desk answers operators' calls.
func (s *sidecar) adminBackend() admin.Desk {
	return admin.Desk{Ready: s.readiness, Figures: s.metrics, ByHand: s.setCordon, Log: s.log}
}

// takesClients says whether this process takes clients, and if not, why.
func (s *sidecar) readiness() (yes bool, why string) {
	switch {
	case !s.accepting.Load():
		return false, "this process takes no clients"
	case !s.core.Ready():
		return false, "no endpoint is known to serve"
	}
	return true, ""
}

// byHand takes an endpoint out, or lets it in again.
func (s *sidecar) setCordon(ctx context.Context, target string, out bool) error {
	w, known, err := s.core.SetCordon(ctx, target, out, takeover.Monotonic())
	switch {
	case err != nil:
		return err
	case !known:
		return admin.ErrUnknown
	}
	s.lifecycle.broadcastCordon(w)
	s.writeCordons(ctx)
	return nil
}

// wordsFile holds the words by hand in the folder that two versions of a sidecar share, for the case that the old one can
// say nothing any more when the new one starts. It is empty at any other start.
const (
	cordonsFile    = "dunlinsail.words"
	maxCordonsFile = 1 << 20
)

// write keeps the words. That it fails is told, and no reason to say no: they hold here, and are handed over.
func (s *sidecar) writeCordons(ctx context.Context) {
	if s.config.Meeting == "" {
		return
	}
	s.cordonsFileMu.Lock()
	defer s.cordonsFileMu.Unlock()
	words, err := s.core.Cordons(ctx)
	if err == nil {
		var text []byte
		if text, err = json.Marshal(words); err == nil {
			path := filepath.Join(s.config.Meeting, cordonsFile)
			own := fmt.Sprintf("%s.%d", path, os.Getpid())
			if err = os.WriteFile(own, text, 0o600); err == nil {
				err = os.Rename(own, path)
			}
		}
	}
	if err != nil {
		s.log.Warn("words by hand not written: only this process knows them", "error", err)
	}
}

// spoken returns the words that another process of this sidecar has kept.
func (s *sidecar) readCordons() (words []cordon.Record) {
	if s.config.Meeting == "" {
		return nil
	}
	f, err := os.Open(filepath.Join(s.config.Meeting, cordonsFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err == nil {
		defer f.Close()
		err = json.NewDecoder(io.LimitReader(f, maxCordonsFile)).Decode(&words)
	}
	if err != nil {
		s.log.Warn("words by hand not read: who was taken out is to be taken out again", "error", err)
		return nil
	}
	return words
}

// figures returns the figures of one moment, a line each.
func (s *sidecar) metrics(ctx context.Context) ([]byte, error) {
	var classes []http1.Counts
	var open int
	var relayed uint64
	list, err := s.core.Statistics(ctx, func() {
		classes, open = s.front.Figures()
		relayed = s.pool.Relayed()
	})
	if err != nil {
		return nil, fmt.Errorf("the figures are not to be had in time: %w", err)
	}
	b := make([]byte, 0, 1<<10)
	line := func(name string, v uint64) {
		b = append(append(b, name...), '=')
		b = append(strconv.AppendUint(b, v, 10), '\n')
	}
	for i, n := range classes {
		class := "operations." + s.config.Site.Classes[i]
		line(class+".fulfilled", n.Fulfilled)
		line(class+".throttled", n.Throttled)
		line(class+".faulted", n.Faulted)
	}
	line("relayed", relayed)
	line("open_requests", uint64(open))
	line("registry_entries", uint64(list.ListedEndpoints))
	line("out_of_rotation", uint64(list.AvoidedEndpoints))
	if list.OverloadControlled {
		line("overload_level_percent", uint64(100*list.OverloadLevel+0.5))
		line("overload_shed", list.ShedRequests)
		line("overload_probes_kept_in", list.SuppressedProbes)
	}
	return b, nil
}

// operate listens for operators, if they are to call here.
func (s *sidecar) serveAdmin() (stop func(), err error) {
	if s.config.Operator == "" {
		return func() {}, nil
	}
	ln, err := net.Listen("tcp", s.config.Operator)
	if err != nil {
		return nil, fmt.Errorf("operator: %w", err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := admin.Serve(ln, s.adminBackend()); err != nil {
			s.log.Error("operators' calls are not served any more", "error", err)
		}
	}()
	return func() {
		ln.Close()
		<-ended
	}, nil
}
