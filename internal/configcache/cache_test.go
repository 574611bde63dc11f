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
	"dunlinsail/internal/fake/require"
)

// newVersion returns version n of the control plane, with n in hexadecimal digits as its digest.
func newVersion(n uint64) *rollout.Version {
	return &rollout.Version{
		ID:     rollout.ID{Source: rollout.SourceControlPlane, Epoch: "a", Number: n},
		Digest: fmt.Sprintf("%02x", n),
	}
}

// newState returns a state with two versions of the control plane: number good is the last known good version, and
// number previous the one before it.
func newState(lastKnownGood, previous uint64) *rollout.PersistentState {
	file := rollout.Version{ID: rollout.ID{Source: rollout.SourceFile, Number: 1}, Digest: "ff"}
	return &rollout.PersistentState{
		LastKnownGood: &rollout.LayeredVersion{ControlPlane: newVersion(lastKnownGood), File: file},
		PreviousGood:  &rollout.LayeredVersion{ControlPlane: newVersion(previous), File: file},
	}
}

// newContents returns the contents of the file and of the versions with the given numbers, by digest.
func newContents(numbers ...uint64) map[string][]byte {
	contents := map[string][]byte{"ff": []byte("file")}
	for _, n := range numbers {
		contents[fmt.Sprintf("%02x", n)] = fmt.Append(nil, "content ", n)
	}
	return contents
}

// fileNames returns the names of the files in the folder of a cache.
func fileNames(t *testing.T, cache *Cache) (names []string) {
	t.Helper()
	entries, err := os.ReadDir(cache.folder)
	require.NoError(t, err)
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names
}

// openTemporary opens a cache in a new temporary folder.
func openTemporary(t *testing.T) *Cache {
	t.Helper()
	cache, err := Open(filepath.Join(t.TempDir(), "versions"))
	require.NoError(t, err)
	return cache
}

// mustLastKnownGood loads the state, and returns the number of its last known good version of the control plane. It
// fails the test if there is no state.
func (c *Cache) mustLastKnownGood(t *testing.T) uint64 {
	t.Helper()
	state, _, err := c.Load()
	if err != nil || state == nil {
		t.Fatalf("%v, %v", state, err)
	}
	return state.LastKnownGood.ControlPlane.Number
}

// Load returns the last saved state, or the previous state if the newest is corrupt or missing. Save removes
// contents to which no state refers.
func TestSaveAndLoad(t *testing.T) {
	cache := openTemporary(t)
	if state, _, err := cache.Load(); state != nil || err != nil {
		t.Errorf("of nothing: %v, %v", state, err)
	}
	for n := uint64(1); n < 5; n++ {
		require.NoError(t, cache.Save(newState(n, n-1), newContents(n, n-1)))
	}
	if got := cache.mustLastKnownGood(t); got != 4 {
		t.Errorf("good %d", got)
	}
	if got := fileNames(t, cache); !slices.Equal(got, []string{
		"content-02",
		"content-03",
		"content-04",
		"content-ff",
		"state",
		"state.before",
	}) {
		t.Errorf("files %v", got)
	}
	if text, err := cache.Content("04"); string(text) != "content 4" || err != nil {
		t.Errorf("%q, %v", text, err)
	}
	for _, digest := range []string{"../state", "", "zz"} {
		if _, err := cache.Content(digest); err == nil {
			t.Errorf("digest %q", digest)
		}
	}
	checkCorruptState(t, cache)
	// Save must not keep a corrupt state as the previous state.
	require.NoError(t, cache.Save(newState(5, 4), newContents(5, 4)))
	require.NoError(t, os.WriteFile(filepath.Join(cache.folder, stateFile), nil, 0o600))
	if state, _, _ := cache.Load(); state.LastKnownGood.ControlPlane.Number != 3 {
		t.Errorf("previous: %d", state.LastKnownGood.ControlPlane.Number)
	}
	os.Remove(filepath.Join(cache.folder, stateFile))
	if state, file, err := cache.Load(); err != nil || file != previousStateFile || state == nil {
		t.Errorf("without the newer: %q, %v", file, err)
	}
}

// checkCorruptState truncates the state file to each possible length. Load must then return the previous state,
// whose last known good version is 3.
func checkCorruptState(t *testing.T, cache *Cache) {
	t.Helper()
	stateText, err := os.ReadFile(filepath.Join(cache.folder, stateFile))
	require.NoError(t, err)
	for length := range stateText {
		require.NoError(t, os.WriteFile(filepath.Join(cache.folder, stateFile), stateText[:length], 0o600))
		state, file, err := cache.Load()
		if file != previousStateFile || state.LastKnownGood.ControlPlane.Number != 3 || !errors.Is(err, ErrCorrupt) {
			t.Fatalf("cut off at %d of %d: from %q, %v", length, len(stateText), file, err)
		}
	}
}

// After a crash between any two steps of Save, Load returns the old or the new state, and the next Save succeeds
// despite the temporary files that the crash has left.
func TestCrashBetweenSteps(t *testing.T) {
	for _, leftovers := range [][]string{
		{"content-03.part"},
		{"state.part"},
		{"state.before.part"},
		{"content-03.part", "state.part", "state.before.part"},
	} {
		cache := openTemporary(t)
		require.NoError(t, cache.Save(newState(2, 1), newContents(1, 2)))
		for _, name := range leftovers {
			require.NoError(t, os.WriteFile(filepath.Join(cache.folder, name), []byte("half"), 0o600))
		}
		if got := cache.mustLastKnownGood(t); got != 2 {
			t.Errorf("%v: good %d", leftovers, got)
		}
		if err := cache.Save(newState(3, 2), newContents(2, 3)); err != nil {
			t.Fatalf("%v: %v", leftovers, err)
		}
		if got := cache.mustLastKnownGood(t); got != 3 {
			t.Errorf("%v: good %d", leftovers, got)
		}
		os.Remove(filepath.Join(cache.folder, stateFile))
		if got := cache.mustLastKnownGood(t); got != 2 {
			t.Errorf("%v: previous is %d: an incomplete file has replaced it", leftovers, got)
		}
	}
}

// Save on a full disk returns an error and leaves the cached files unchanged.
func TestFullDisk(t *testing.T) {
	cache := openTemporary(t)
	require.NoError(t, cache.Save(newState(2, 1), newContents(1, 2)))
	// Writes to /dev/full fail as they do on a full disk.
	for _, name := range []string{"content-03.part", "state.part"} {
		partialFile := filepath.Join(cache.folder, name)
		require.NoError(t, os.Symlink("/dev/full", partialFile))
		if err := cache.Save(newState(3, 2), newContents(2, 3)); !errors.Is(err, syscall.ENOSPC) {
			t.Errorf("%s: %v", name, err)
		}
		if state, _, err := cache.Load(); err != nil || state.LastKnownGood.ControlPlane.Number != 2 {
			t.Errorf("%s: %v, %v", name, state, err)
		}
		if got := strings.Join(fileNames(t, cache), " "); strings.Contains(got, "part") {
			t.Errorf("left behind: %s", got)
		}
	}
	if err := cache.Save(newState(3, 2), newContents(2, 3)); err != nil || cache.mustLastKnownGood(t) != 3 {
		t.Errorf("with space on the disk: %v", err)
	}
}

// Open returns an error if the folder cannot be created, and Save if the folder does not exist.
func TestUnusableFolder(t *testing.T) {
	cache := openTemporary(t)
	path := filepath.Join(cache.folder, "file")
	require.NoError(t, os.WriteFile(path, nil, 0o600))
	if _, err := Open(filepath.Join(path, "versions")); err == nil {
		t.Error("a folder in a file")
	}
	os.RemoveAll(cache.folder)
	if err := cache.Save(newState(1, 0), newContents(0, 1)); err == nil {
		t.Error("a folder that has gone")
	}
}
