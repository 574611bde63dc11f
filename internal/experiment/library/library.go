// Package library contains the scenarios that are embedded in the program. Each scenario states in one line what it is
// about, and which claims the shipped settings must satisfy in it.
package library

import (
	"embed"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"dunlinsail/internal/simulation/scenario"
)

//go:embed *.toml
var scenarioFiles embed.FS

// Names returns the names of all embedded scenarios, sorted.
func Names() []string {
	entries, err := fs.ReadDir(scenarioFiles, ".")
	if err != nil {
		panic(err) // unreachable: the files are embedded in the program
	}
	var names []string
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), ".toml"))
	}
	return names
}

// Text returns the content of the file of an embedded scenario.
func Text(name string) ([]byte, error) {
	text, err := scenarioFiles.ReadFile(name + ".toml")
	if err != nil {
		return nil, fmt.Errorf("no scenario is named %q; available scenarios: %s", name, strings.Join(Names(), ", "))
	}
	return text, nil
}

// Load reads a scenario by its name in the library, or from a file. An argument with a dot or a slash is the
// path of a file. The scenario in a file may be based on a file in the same folder, or on a scenario of the
// library.
func Load(nameOrPath string) (*scenario.Scenario, error) {
	if !strings.ContainsAny(nameOrPath, "./") {
		text, err := Text(nameOrPath)
		if err != nil {
			return nil, err
		}
		return scenario.Parse(text, Text)
	}
	text, err := os.ReadFile(nameOrPath)
	if err != nil {
		return nil, err
	}
	return scenario.Parse(text, func(base string) ([]byte, error) {
		if slices.Contains(Names(), base) {
			return Text(base)
		}
		return os.ReadFile(filepath.Join(filepath.Dir(nameOrPath), base))
	})
}
