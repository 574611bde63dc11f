package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dunlinsail/internal/fake/require"
)

// The files under testdata/golden were written by build 870f4ac and must never change. They are a configuration
// file, the cached resources of two versions (each file is named by the digest of the resources), and the
// combination of the configuration file with the first of these versions. Digest, JSON encoding and Combine must
// still give the same results.
func TestGoldenResources(t *testing.T) {
	readText := func(path string) string {
		t.Helper()
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		return string(text)
	}
	folder := filepath.Join("testdata", "golden")
	file, err := Parse([]byte(readText(filepath.Join(folder, "file.toml"))))
	require.NoError(t, err)
	paths, err := filepath.Glob(filepath.Join(folder, "resources-*.json"))
	if err != nil || len(paths) != 2 {
		t.Fatalf("%v, %v", paths, err)
	}
	combinations := 0
	for _, path := range paths {
		text := readText(path)
		var resources []Resource
		require.NoError(t, json.Unmarshal([]byte(text), &resources))
		digest := strings.TrimSuffix(strings.TrimPrefix(filepath.Base(path), "resources-"), ".json")
		if got := Digest(resources); got != digest {
			t.Errorf("digest %s, want %s", got, digest)
		}
		if reencoded, err := json.Marshal(resources); err != nil || string(reencoded) != text {
			t.Errorf("encoded again, got\n%s\nwant\n%s\n%v", reencoded, text, err)
		}
		combined, err := Combine(file, resources)
		require.NoError(t, err)
		goldenText, err := os.ReadFile(filepath.Join(folder, "combined-"+digest+".toml"))
		if os.IsNotExist(err) {
			continue
		}
		combinations++
		if string(combined.Text) != string(goldenText) {
			t.Errorf("combined, got\n%s\nwant\n%s", combined.Text, goldenText)
		}
	}
	if combinations != 1 {
		t.Errorf("%d combinations compared, want 1", combinations)
	}
}
