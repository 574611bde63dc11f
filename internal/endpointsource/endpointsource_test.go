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

func entryJSON(id, lifecycle string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":"127.0.0.1:1","lifecycle":%q,"weight":1}`, id, lifecycle)
}

func listJSON(entries ...string) string {
	return `{"generation":9,"instances":[` + strings.Join(entries, ",") + `]}`
}

// Each valid change of the file is passed on as a complete list with a higher generation. An invalid or missing file
// causes no update.
func TestFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "pool.json")
	updates := make(chan engine.EndpointUpdate, 1)
	onUpdate := func(_ context.Context, update engine.EndpointUpdate) { updates <- update }
	f := WatchFile(path, time.Millisecond, onUpdate, scriptedpeer.DiscardLog)
	defer f.Close()
	replaceFile := func(text string) {
		t.Helper()
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	endpointNames := func(update engine.EndpointUpdate) (endpointNames []string) {
		for _, endpoint := range update.Endpoints {
			endpointNames = append(endpointNames, endpoint.Name)
		}
		return endpointNames
	}
	lastGeneration := int64(0)
	for _, tc := range []struct {
		invalid []string // contents that are written first, each of them long enough to be read several times
		text    string
		want    []string
	}{
		{nil, listJSON(entryJSON("a", "up"), entryJSON("b", "draining")), []string{"a", "b"}},
		{[]string{
			"", "{", `{"generation":1}`,
			listJSON(entryJSON("", "up")),
			listJSON(entryJSON("a", "up"), entryJSON("a", "up")),
			listJSON(entryJSON("a", "gone")),
		}, listJSON(entryJSON("b", "up")), []string{"b"}},
		{nil, listJSON(), nil},
		{[]string{listJSON(entryJSON("a", "up"))[:20]}, listJSON(entryJSON("a", "up")), []string{"a"}},
	} {
		for _, text := range tc.invalid {
			replaceFile(text)
			select {
			case got := <-updates:
				t.Errorf("%q was passed on: %v", text, got)
			case <-time.After(5 * time.Millisecond):
			}
		}
		replaceFile(tc.text)
		got := scriptedpeer.Receive(t, updates, "a list")
		if fmt.Sprint(endpointNames(got)) != fmt.Sprint(tc.want) || got.Generation <= lastGeneration {
			t.Errorf("%v of generation %d, want %v after %d",
				endpointNames(got), got.Generation, tc.want, lastGeneration)
		}
		lastGeneration = got.Generation
	}
	os.Remove(path)
	select {
	case got := <-updates:
		t.Errorf("a missing file was passed on: %v", got)
	case <-time.After(5 * time.Millisecond):
	}
}
