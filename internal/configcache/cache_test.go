package configcache

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"dunlinsail/internal/decide/rollout"
)

func version(n uint64) *rollout.Version {
	return &rollout.Version{
		ID:     rollout.ID{Source: rollout.SourceControlPlane, Epoch: "a", Number: n},
		Digest: fmt.Sprintf("%02x", n),
	}
}

func newState(good, before uint64) *rollout.PersistentState {
	file := rollout.Version{ID: rollout.ID{Source: rollout.SourceFile, Number: 1}, Digest: "ff"}
	return &rollout.PersistentState{
		LastKnownGood: &rollout.LayeredVersion{ControlPlane: version(good), File: file},
		PreviousGood:  &rollout.LayeredVersion{ControlPlane: version(before), File: file},
	}
}

func newContents(n ...uint64) map[string][]byte {
	all := map[string][]byte{"ff": []byte("file")}
	for _, n := range n {
		all[fmt.Sprintf("%02x", n)] = fmt.Append(nil, "content ", n)
	}
	return all
}

func fileNames(t *testing.T, d *Cache) (all []string) {
	t.Helper()
	entries, err := os.ReadDir(d.path)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		all = append(all, e.Name())
	}
	return all
}

func openTemporary(t *testing.T) *Cache {
	t.Helper()
	d, err := Open(filepath.Join(t.TempDir(), "versions"))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func (c *Cache) mustLastKnownGood(t *testing.T) uint64 {
	t.Helper()
	k, _, err := c.Load()
	if err != nil || k == nil {
		t.Fatalf("%v, %v", k, err)
	}
	return k.LastKnownGood.ControlPlane.Number
}

// What is saved is loaded, what is not needed goes, and what is spoilt is passed over for the one before.
func TestSaveAndLoad(t *testing.T) {
	d := openTemporary(t)
	if k, _, err := d.Load(); k != nil || err != nil {
		t.Errorf("of nothing: %v, %v", k, err)
	}
	for n := uint64(1); n < 5; n++ {
		if err := d.Save(newState(n, n-1), newContents(n, n-1)); err != nil {
			t.Fatal(err)
		}
	}
	if got := d.mustLastKnownGood(t); got != 4 {
		t.Errorf("good %d", got)
	}
	if got := fileNames(t, d); !slices.Equal(got, []string{
		"content-02",
		"content-03",
		"content-04",
		"content-ff",
		"state",
		"state.before",
	}) {
		t.Errorf("files %v", got)
	}
	if text, err := d.Content("04"); string(text) != "content 4" || err != nil {
		t.Errorf("%q, %v", text, err)
	}
	for _, bad := range []string{"../state", "", "zz"} {
		if _, err := d.Content(bad); err == nil {
			t.Errorf("digest %q", bad)
		}
	}
	whole, err := os.ReadFile(filepath.Join(d.path, stateFile))
	if err != nil {
		t.Fatal(err)
	}
	for cut := range whole {
		if err := os.WriteFile(filepath.Join(d.path, stateFile), whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		k, from, err := d.Load()
		if from != previousStateFile || k.LastKnownGood.ControlPlane.Number != 3 || !errors.Is(err, ErrCorrupt) {
			t.Fatalf("cut off at %d of %d: from %q, %v", cut, len(whole), from, err)
		}
	}
	// What is spoilt does not take the place of the one before it.
	if err := d.Save(newState(5, 4), newContents(5, 4)); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(d.path, stateFile), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if k, _, _ := d.Load(); k.LastKnownGood.ControlPlane.Number != 3 {
		t.Errorf("before: %d", k.LastKnownGood.ControlPlane.Number)
	}
	os.Remove(filepath.Join(d.path, stateFile))
	if k, from, err := d.Load(); err != nil || from != previousStateFile || k == nil {
		t.Errorf("without the newer: %q, %v", from, err)
	}
}

// A crash between any two steps leaves what was there, or what is new, and the next saving goes on from either.
func TestCrashBetweenSteps(t *testing.T) {
	for _, leave := range [][]string{
		{"content-03.part"},
		{"state.part"},
		{"state.before.part"},
		{"content-03.part", "state.part", "state.before.part"},
	} {
		d := openTemporary(t)
		if err := d.Save(newState(2, 1), newContents(1, 2)); err != nil {
			t.Fatal(err)
		}
		for _, name := range leave {
			if err := os.WriteFile(filepath.Join(d.path, name), []byte("half"), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		if got := d.mustLastKnownGood(t); got != 2 {
			t.Errorf("%v: good %d", leave, got)
		}
		if err := d.Save(newState(3, 2), newContents(2, 3)); err != nil {
			t.Fatalf("%v: %v", leave, err)
		}
		if got := d.mustLastKnownGood(t); got != 3 {
			t.Errorf("%v: good %d", leave, got)
		}
		os.Remove(filepath.Join(d.path, stateFile))
		if got := d.mustLastKnownGood(t); got != 2 {
			t.Errorf("%v: before is %d: half a file took its place", leave, got)
		}
	}
}

// A disk that is full takes nothing, says so, and has what it had.
func TestFullDisk(t *testing.T) {
	d := openTemporary(t)
	if err := d.Save(newState(2, 1), newContents(1, 2)); err != nil {
		t.Fatal(err)
	}
	// /dev/full says of each write what a full disk says.
	for _, name := range []string{"content-03.part", "state.part"} {
		part := filepath.Join(d.path, name)
		if err := os.Symlink("/dev/full", part); err != nil {
			t.Fatal(err)
		}
		if err := d.Save(newState(3, 2), newContents(2, 3)); !errors.Is(err, syscall.ENOSPC) {
			t.Errorf("%s: %v", name, err)
		}
		if k, _, err := d.Load(); err != nil || k.LastKnownGood.ControlPlane.Number != 2 {
			t.Errorf("%s: %v, %v", name, k, err)
		}
		if got := strings.Join(fileNames(t, d), " "); strings.Contains(got, "part") {
			t.Errorf("left behind: %s", got)
		}
	}
	if err := d.Save(newState(3, 2), newContents(2, 3)); err != nil || d.mustLastKnownGood(t) != 3 {
		t.Errorf("once there is room: %v", err)
	}
}

// A folder that cannot be written to or made is an error.
func TestUnusableFolder(t *testing.T) {
	d := openTemporary(t)
	path := filepath.Join(d.path, "file")
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(filepath.Join(path, "versions")); err == nil {
		t.Error("a folder in a file")
	}
	os.RemoveAll(d.path)
	if err := d.Save(newState(1, 0), newContents(0, 1)); err == nil {
		t.Error("a folder that has gone")
	}
}
