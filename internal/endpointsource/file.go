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

// DefaultFileInterval is the pause between two reads of a file.
const DefaultFileInterval = time.Second

// maxFileBytes is the largest accepted size of a file.
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
	lastError  string // the error that was logged last; "" after a valid list

	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// WatchFile reads a file at once and then at each interval until Close, in a goroutine that Close ends. A file that
// cannot be read or is invalid, as while an editor writes it, leaves the list before it in effect. Its error is logged
// once, until it changes.
func WatchFile(path string, interval time.Duration, onUpdate discovery.UpdateFunc, log *slog.Logger) *File {
	f := &File{path: path, interval: interval, onUpdate: onUpdate, log: log}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.reload(ctx)
	f.goroutines.Go(func() { f.poll(ctx) })
	return f
}

// Close ends the watch and waits for its goroutine. No update is passed on after it returns.
func (f *File) Close() {
	f.cancel()
	f.goroutines.Wait()
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
// modification, whose resolution may be too coarse for two changes in succession.
func (f *File) reload(ctx context.Context) {
	content, err := f.readFile()
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

func (f *File) readFile() ([]byte, error) {
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

// validate returns the first error in a list. One invalid entry rejects the complete file, whose author can mend it;
// discovery's lists are accepted entry by entry.
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
		case instance.Lifecycle != discovery.LifecycleUp && instance.Lifecycle != discovery.LifecycleDraining:
			return fmt.Errorf("%s: lifecycle %q is neither up nor draining", instance.ID, instance.Lifecycle)
		}
		seen[instance.ID] = true
	}
	return nil
}
