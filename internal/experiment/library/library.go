// Package library holds the scenarios that come with the program. Each says in a line what it is about, and what must
// hold of the shipped settings in it.
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

// Names returns the names of all scenarios, in order.
func Names() []string {
	entries, err := fs.ReadDir(scenarioFiles, ".")
	if err != nil {
		panic(err) // they are a part of the program
	}
	var names []string
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), ".toml"))
	}
	return names
}

// Text returns the text of a scenario's file.
func Text(name string) ([]byte, error) {
	text, err := scenarioFiles.ReadFile(name + ".toml")
	if err != nil {
		return nil, fmt.Errorf("no scenario is named %q; there are %s", name, strings.Join(Names(), ", "))
	}
	return text, nil
}

// Load reads a scenario by its name in the library, or from a file: what has a dot or a slash in it is one. A file may
// be based on one in its own folder, or in the library.
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
