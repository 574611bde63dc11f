// Package endpointsource holds sources of lists of endpoints beside discovery: a list that stands in a configuration, and a
// file that is read again when it changes. A source tells whole lists; it knows nothing of what is done with them.
package endpointsource

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/discovery"
	"dunlinsail/internal/engine"
)

// Listed returns a list of addresses as the core takes it: each is the endpoint's name, too.
func StaticList(addresses []string, zone string, generation int64) engine.EndpointUpdate {
	t := engine.EndpointUpdate{Kind: balancer.ListFull, Generation: generation}
	for _, a := range addresses {
		t.Endpoints = append(t.Endpoints, engine.EndpointInfo{Name: a, Addr: a, Zone: zone, Weight: 1})
	}
	return t
}

// File is a file that holds a list in discovery's form. Its generation and reset are not read: what it holds is the
// whole list, whenever it changes.
type File struct {
	path     string
	interval time.Duration
	onUpdate discovery.UpdateFunc
	log      *slog.Logger

	content    []byte
	generation int64
	lastError  string // the last error told

	cancel  context.CancelFunc
	running sync.WaitGroup
}

// fileMost is the most bytes that a file may have.
const maxFileBytes = 64 << 20

// Every is how often a file is looked at.
const DefaultFileInterval = time.Second

// Watch reads a file at once and then as often as it is told, until Close. A file that cannot be read or makes no sense
// is logged, once until that changes, and the list before it stays: an editor or a copy may be half done.
func WatchFile(path string, every time.Duration, tell discovery.UpdateFunc, log *slog.Logger) *File {
	f := &File{path: path, interval: every, onUpdate: tell, log: log}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.reload(ctx)
	f.running.Go(func() {
		tick := time.NewTicker(f.interval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				f.reload(ctx)
			case <-ctx.Done():
				return
			}
		}
	})
	return f
}

// Close ends the watch and waits until it tells nothing more.
func (f *File) Close() {
	f.cancel()
	f.running.Wait()
}

// look tells the list if the file holds another than before. It is read, not only asked for its time: a file that is
// replaced within its time's grain is another all the same.
func (f *File) reload(ctx context.Context) {
	text, err := f.read()
	if err == nil && bytes.Equal(text, f.content) && f.content != nil {
		return
	}
	var l discovery.List
	if err == nil {
		if err = json.Unmarshal(text, &l); err == nil {
			err = validate(&l)
		}
	}
	if err != nil {
		if f.lastError != err.Error() {
			f.lastError = err.Error()
			f.log.Warn("file of endpoints not taken, the list before it stays", "file", f.path, "error", err)
		}
		return
	}
	f.content, f.lastError = text, ""
	f.generation++
	l.Generation, l.Reset = f.generation, true
	f.log.Info("file of endpoints read", "file", f.path, "endpoints", len(l.Instances))
	f.onUpdate(ctx, l.EndpointUpdate())
}

func (f *File) read() ([]byte, error) {
	file, err := os.Open(f.path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err == nil && len(text) > maxFileBytes {
		err = fmt.Errorf("over %d bytes", maxFileBytes)
	}
	return text, err
}

// check says what of a list makes no sense. Discovery's lists are taken entry by entry, since what is missing there may
// come with the next; a file is somebody's work, and wrong as a whole.
func validate(l *discovery.List) error {
	if l.Instances == nil {
		return fmt.Errorf(`no "instances"`)
	}
	names := map[string]bool{}
	for i, in := range l.Instances {
		switch {
		case in.ID == "" || in.Address == "":
			return fmt.Errorf("instance %d has no instanceId or no hostPort", i)
		case names[in.ID]:
			return fmt.Errorf("instanceId %q stands twice", in.ID)
		case in.Lifecycle != "up" && in.Lifecycle != "draining":
			return fmt.Errorf("%s: lifecycle %q is neither up nor draining", in.ID, in.Lifecycle)
		}
		names[in.ID] = true
	}
	return nil
}
