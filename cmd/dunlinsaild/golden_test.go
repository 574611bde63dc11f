package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dunlinsail/internal/fake/require"
)

// The output of the config commands equals the golden files under testdata/golden, which the build of commit
// 870f4ac wrote and which never change: a directory of stored configuration versions, and the output of each
// command for it. In the golden files FOLDER stands for the path of testdata/golden.
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
