package endpointsource

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync"
	"time"

	"dunlinsail/internal/discovery"
)

// DefaultFileInterval is how often a file is read for changes.
const DefaultFileInterval = time.Second

// maxFileBytes bounds the size of a file.
const maxFileBytes = 64 << 20

// File watches a file that holds a list in discovery's form. The list's own generation and reset are not used: the file
// always holds the complete list, and each change of it is a new generation.
type File struct {
	path     string
	interval time.Duration
	onUpdate discovery.UpdateFunc
	log      *slog.Logger

	content    []byte // of the latest list; nil before the first
	generation int64
	lastError  string // logged last, empty after a list

	cancel  context.CancelFunc
	running sync.WaitGroup
}

// WatchFile reads a file at once and then at each interval until Close. A file that cannot be read or is invalid is
// logged once, until that changes, and the list before it stays: an editor or a copy may be half done.
func WatchFile(path string, interval time.Duration, onUpdate discovery.UpdateFunc, log *slog.Logger) *File {
	f := &File{path: path, interval: interval, onUpdate: onUpdate, log: log}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.reload(ctx)
	f.running.Go(func() { f.poll(ctx) })
	return f
}

// Close ends the watch and waits until no more updates come from it.
func (f *File) Close() {
	f.cancel()
	f.running.Wait()
}

func (f *File) poll(ctx context.Context) {
	ticker := time.NewTicker(f.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f.reload(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// reload passes on the file's list if its content has changed. The content is compared, and not the time of
// modification: a file that is replaced within the grain of its time has changed all the same.
func (f *File) reload(ctx context.Context) {
	content, err := f.read()
	if err == nil && f.content != nil && bytes.Equal(content, f.content) {
		return
	}
	var list *discovery.List
	if err == nil {
		list, err = parseList(content)
	}
	if err != nil {
		f.logRejected(err)
		return
	}
	f.content = content
	f.lastError = ""
	f.generation++
	list.Generation = f.generation
	list.Reset = true
	f.log.Info("endpoint file loaded", "file", f.path, "endpoints", len(list.Instances))
	f.onUpdate(ctx, list.EndpointUpdate())
}

func (f *File) logRejected(err error) {
	if f.lastError == err.Error() {
		return
	}
	f.lastError = err.Error()
	f.log.Warn("endpoint file rejected", "file", f.path, "error", err)
}

func (f *File) read() ([]byte, error) {
	file, err := os.Open(f.path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	content, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err == nil && len(content) > maxFileBytes {
		err = fmt.Errorf("over %d bytes", maxFileBytes)
	}
	return content, err
}

func parseList(content []byte) (*discovery.List, error) {
	list := &discovery.List{}
	if err := json.Unmarshal(content, list); err != nil {
		return nil, err
	}
	return list, validate(list)
}

// validate returns the first error in a list. Discovery's lists are taken entry by entry, since what is missing there
// may come with the next one; a file is written by somebody, and one wrong entry rejects all of it.
func validate(list *discovery.List) error {
	if list.Instances == nil {
		return errors.New(`no "instances"`)
	}
	seen := map[string]bool{}
	for i, instance := range list.Instances {
		switch {
		case instance.ID == "" || instance.Address == "":
			return fmt.Errorf("instance %d has no instanceId or no hostPort", i)
		case seen[instance.ID]:
			return fmt.Errorf("instanceId %q stands twice", instance.ID)
		case instance.Lifecycle != "up" && instance.Lifecycle != "draining":
			return fmt.Errorf("%s: lifecycle %q is neither up nor draining", instance.ID, instance.Lifecycle)
		}
		seen[instance.ID] = true
	}
	return nil
}
