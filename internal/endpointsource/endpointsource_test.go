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

// Each change of the file is told as a whole list, with a generation of its own; what makes no sense changes nothing.
func TestFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "pool.json")
	told := make(chan engine.EndpointUpdate, 1)
	f := WatchFile(path, time.Millisecond, func(_ context.Context, t engine.EndpointUpdate) { told <- t }, scriptedpeer.DiscardLog)
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
	names := func(t engine.EndpointUpdate) (all []string) {
		for _, m := range t.Endpoints {
			all = append(all, m.Name)
		}
		return all
	}
	last := int64(0)
	for _, tc := range []struct {
		wrong []string // written first, each for a few looks
		text  string
		want  []string
	}{
		{nil, list(entry("a", "up"), entry("b", "draining")), []string{"a", "b"}},
		{[]string{"", "{", `{"generation":1}`, list(entry("", "up")), list(entry("a", "up"), entry("a", "up")), list(entry("a", "gone"))},
			list(entry("b", "up")), []string{"b"}},
		{nil, list(), nil},
		{[]string{list(entry("a", "up"))[:20]}, list(entry("a", "up")), []string{"a"}},
	} {
		for _, text := range tc.wrong {
			write(text)
			select {
			case got := <-told:
				t.Errorf("%q was told: %v", text, got)
			case <-time.After(5 * time.Millisecond):
			}
		}
		write(tc.text)
		got := scriptedpeer.Receive(t, told, "a list")
		if fmt.Sprint(names(got)) != fmt.Sprint(tc.want) || got.Generation <= last {
			t.Errorf("%v of generation %d, want %v after %d", names(got), got.Generation, tc.want, last)
		}
		last = got.Generation
	}
	os.Remove(path)
	select {
	case got := <-told:
		t.Errorf("a file that is gone told %v", got)
	case <-time.After(5 * time.Millisecond):
	}
}
