package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dunlinsail/internal/fake/require"
)

// The files under testdata/golden were written by the build of 870f4ac and never change: a folder of cached versions,
// and what the config commands printed of it, with FOLDER in place of the path of testdata/golden.
func TestGoldenConfigCommands(t *testing.T) {
	folder, err := filepath.Abs(filepath.Join("testdata", "golden"))
	require.NoError(t, err)
	fileText, err := os.ReadFile(filepath.Join(folder, "file.toml"))
	require.NoError(t, err)
	path := writeConfig(t, fmt.Sprintf("%s\n[control]\nstate = %q\n", fileText, filepath.Join(folder, "versions")))
	candidate := filepath.Join("testdata", "golden", "candidate.json")
	for output, args := range map[string][]string{
		"versions.txt":    {"config", "versions"},
		"show-good.txt":   {"config", "show", "good"},
		"show-before.txt": {"config", "show", "before"},
		"show-file.txt":   {"config", "show", "file"},
		"show-e7.txt":     {"config", "show", "e/7"},
		"show-whole.txt":  {"config", "show", "--whole", candidate},
		"diff.txt":        {"config", "diff", "before", "good"},
		"try.txt":         {"config", "try", candidate},
	} {
		t.Run(output, func(t *testing.T) {
			want, err := os.ReadFile(filepath.Join(folder, output))
			require.NoError(t, err)
			code, out, stderr := runToEnd(t, append(args[:2:2], append([]string{"--config", path}, args[2:]...)...)...)
			out = strings.ReplaceAll(out, folder, "FOLDER")
			if code != 0 || stderr != "" || out != string(want) {
				t.Errorf("%v: code %d, errors %q, got\n%s\nwant\n%s", args, code, stderr, out, want)
			}
		})
	}
}
