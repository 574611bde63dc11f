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

// DefaultFileInterval is the default interval between two reads of an endpoint file.
const DefaultFileInterval = time.Second

// maxFileBytes is the largest accepted size of an endpoint file in bytes.
const maxFileBytes = 64 << 20

// File watches a file that contains an endpoint list in the format of the discovery protocol. The generation and
// reset fields of the list are ignored: the file always contains the complete list, and each change of it is a
// new generation.
type File struct {
	path     string
	interval time.Duration
	onUpdate discovery.UpdateFunc
	log      *slog.Logger

	content    []byte // content of the file with the latest valid list; nil before the first one
	generation int64
	lastError  string // text of the error that was logged last; "" after a valid list

	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// WatchFile reads a file immediately, and then once in each interval in a goroutine, until Close. If the file
// cannot be read or is invalid, for example while an editor writes it, the previous list stays in effect, and the
// error is logged. The same error is not logged again on the next reads.
func WatchFile(path string, interval time.Duration, onUpdate discovery.UpdateFunc, log *slog.Logger) *File {
	f := &File{path: path, interval: interval, onUpdate: onUpdate, log: log}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.reload(ctx)
	f.goroutines.Go(func() { f.poll(ctx) })
	return f
}

// Close ends the watch and waits for its goroutine. No update is passed on after Close returns.
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

// reload reads the file and passes on its list if the content has changed. It compares the content instead of the
// modification time, whose resolution may be too coarse for two changes in quick succession.
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
		err = fmt.Errorf("file exceeds %d bytes", maxFileBytes)
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

// validate returns the first error in a list. One invalid entry rejects the complete file, because its author can
// correct it. In lists from discovery, each entry is accepted or rejected on its own.
func validate(list *discovery.List) error {
	if list.Instances == nil {
		return errors.New(`"instances" is missing`)
	}
	seenIDs := map[string]bool{}
	for i, instance := range list.Instances {
		switch {
		case instance.ID == "" || instance.Address == "":
			return fmt.Errorf("instance %d has no instanceId or no hostPort", i)
		case seenIDs[instance.ID]:
			return fmt.Errorf("instanceId %q occurs more than once", instance.ID)
		case instance.Lifecycle != discovery.LifecycleUp && instance.Lifecycle != discovery.LifecycleDraining:
			return fmt.Errorf("%s: lifecycle %q is neither up nor draining", instance.ID, instance.Lifecycle)
		}
		seenIDs[instance.ID] = true
	}
	return nil
}
