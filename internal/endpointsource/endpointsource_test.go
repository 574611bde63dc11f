package endpointsource

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"dunlinsail/internal/engine"
	"dunlinsail/internal/fake/scriptedpeer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func entry(id, lifecycle string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":"127.0.0.1:1","lifecycle":%q,"weight":1}`, id, lifecycle)
}

func list(entries ...string) string {
	return `{"generation":9,"instances":[` + strings.Join(entries, ",") + `]}`
}

// Each valid change of the file is passed on as a complete list with a generation of its own. An invalid or missing
// file changes nothing.
func TestFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "pool.json")
	updates := make(chan engine.EndpointUpdate, 1)
	onUpdate := func(_ context.Context, update engine.EndpointUpdate) { updates <- update }
	f := WatchFile(path, time.Millisecond, onUpdate, scriptedpeer.DiscardLog)
	defer f.Close()
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	names := func(update engine.EndpointUpdate) (names []string) {
		for _, endpoint := range update.Endpoints {
			names = append(names, endpoint.Name)
		}
		return names
	}
	last := int64(0)
	for _, tc := range []struct {
		invalid []string // written first, each for a few reads
		text    string
		want    []string
	}{
		{nil, list(entry("a", "up"), entry("b", "draining")), []string{"a", "b"}},
		{[]string{
			"", "{", `{"generation":1}`,
			list(entry("", "up")),
			list(entry("a", "up"), entry("a", "up")),
			list(entry("a", "gone")),
		}, list(entry("b", "up")), []string{"b"}},
		{nil, list(), nil},
		{[]string{list(entry("a", "up"))[:20]}, list(entry("a", "up")), []string{"a"}},
	} {
		for _, text := range tc.invalid {
			write(text)
			select {
			case got := <-updates:
				t.Errorf("%q was passed on: %v", text, got)
			case <-time.After(5 * time.Millisecond):
			}
		}
		write(tc.text)
		got := scriptedpeer.Receive(t, updates, "a list")
		if fmt.Sprint(names(got)) != fmt.Sprint(tc.want) || got.Generation <= last {
			t.Errorf("%v of generation %d, want %v after %d", names(got), got.Generation, tc.want, last)
		}
		last = got.Generation
	}
	os.Remove(path)
	select {
	case got := <-updates:
		t.Errorf("a missing file was passed on: %v", got)
	case <-time.After(5 * time.Millisecond):
	}
}
