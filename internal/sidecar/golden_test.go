package sidecar

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"dunlinsail/internal/decide/cordon"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scriptedpeer"
	"dunlinsail/internal/platform"
)

// TestCordonsOfEarlierBuild reads the file of cordons that the build of commit 870f4ac wrote, and checks that
// encoding the cordons gives the same bytes. Messages to the other process of a hot restart have the same
// encoding. Do not change the golden file, because the other process may be an earlier build.
func TestCordonsOfEarlierBuild(t *testing.T) {
	golden, err := os.ReadFile("testdata/words.golden.json")
	require.NoError(t, err)
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "dunlinsail.words"), golden, 0o600))
	s := &sidecar{config: &platform.Config{SharedDir: dir}, log: scriptedpeer.DiscardLog}
	cordons := s.readCordons()
	want := []cordon.Record{
		{Name: "s-0", Cordoned: true, At: 1_700_000_000_000_001},
		{Name: "s-1", Cordoned: false, At: 2},
	}
	if len(cordons) != len(want) || cordons[0] != want[0] || cordons[1] != want[1] {
		t.Fatalf("read %+v, want %+v", cordons, want)
	}
	encoded, err := json.Marshal(cordons)
	require.NoError(t, err)
	if !bytes.Equal(encoded, golden) {
		t.Errorf("encoded again: %s, want %s", encoded, golden)
	}
}

// TestPathsOfEarlierBuild verifies the names of the files through which processes of different builds communicate.
func TestPathsOfEarlierBuild(t *testing.T) {
	if socketName != "dunlinsail.takeover" || cordonsFile != "dunlinsail.words" {
		t.Errorf("file names have changed: %q, %q", socketName, cordonsFile)
	}
}
