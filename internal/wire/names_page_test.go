package wire

import (
	"go/scanner"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"dunlinsail/internal/fake/require"
)

const (
	repositoryRoot   = "../.."
	wireNamesPage    = repositoryRoot + "/docs/GLOSSARY.md"
	wireNamesHeading = "## Names on the wire"
	minWireNameRows  = 30
)

// counterpartFolders are the folders of programs that implement the simulator's side of the wire. They spell
// the names on the wire independently of this package.
var counterpartFolders = []string{
	"internal/fake", "internal/experiment", "internal/bench", "internal/playground", "internal/simulation",
}

var (
	backquoted = regexp.MustCompile("`([^`]+)`")
	plainWord  = regexp.MustCompile(`^[a-z]+$`) // elsewhere, such a word may be used with another meaning
	tagName    = regexp.MustCompile(`(?:json|toml|cbor):"([^",]+)`)
)

// wireNameFiles returns, for each name in the page's table, the files that may spell the name.
func wireNameFiles(t *testing.T) map[string][]string {
	t.Helper()
	text, err := os.ReadFile(wireNamesPage)
	require.NoError(t, err)
	_, section, found := strings.Cut(string(text), wireNamesHeading+"\n")
	if !found {
		t.Fatalf("the page has no section %q", wireNamesHeading)
	}
	section, _, _ = strings.Cut(section, "\n## ")
	filesByName, rowCount := map[string][]string{}, 0
	for _, line := range strings.Split(section, "\n") {
		cells := strings.Split(line, "|")
		if !strings.HasPrefix(line, "| `") || len(cells) != 5 {
			continue
		}
		rowCount++
		file := backquoted.FindStringSubmatch(cells[2])[1]
		for _, name := range backquoted.FindAllStringSubmatch(cells[3], -1) {
			filesByName[name[1]] = append(filesByName[name[1]], file)
		}
	}
	if rowCount < minWireNameRows {
		t.Fatalf("%d rows, want at least %d", rowCount, minWireNameRows)
	}
	return filesByName
}

// stringLiterals returns the values of all string literals in a file, and the names in its struct tags.
func stringLiterals(t *testing.T, file string) []string {
	t.Helper()
	source, err := os.ReadFile(file)
	require.NoError(t, err)
	var s scanner.Scanner
	s.Init(token.NewFileSet().AddFile(file, -1, len(source)), source, nil, 0)
	var values []string
	for _, tok, text := s.Scan(); tok != token.EOF; _, tok, text = s.Scan() {
		if tok != token.STRING {
			continue
		}
		value, err := strconv.Unquote(text)
		if err != nil {
			t.Fatalf("%s: %s: %v", file, text, err)
		}
		values = append(values, value)
		for _, tag := range tagName.FindAllStringSubmatch(value, -1) {
			values = append(values, tag[1])
		}
	}
	return values
}

// visitProductFiles calls visit for each Go source file of the product, without tests and counterpartFolders.
// file is the path from the working folder, and path is the path from the root of the repository.
func visitProductFiles(t *testing.T, visit func(file, path string)) {
	t.Helper()
	err := filepath.WalkDir(repositoryRoot, func(file string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		path, err := filepath.Rel(repositoryRoot, file)
		if err != nil {
			return err
		}
		path = filepath.ToSlash(path)
		hidden := strings.HasPrefix(entry.Name(), ".") && path != "."
		switch {
		case entry.IsDir() && (hidden || slices.Contains(counterpartFolders, path)):
			return fs.SkipDir
		case strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go"):
			visit(file, path)
		}
		return nil
	})
	require.NoError(t, err)
}

// Each name on the wire is spelled in the file that the glossary states, and in no other file of the product. A
// name that is a plain word is only checked in the stated file, since it may have another meaning in other
// files.
func TestWireNamesHaveOnePlace(t *testing.T) {
	filesByName := wireNameFiles(t)
	spelled := map[string]bool{} // keys consist of a path, a space and a name
	visitProductFiles(t, func(file, path string) {
		for _, value := range stringLiterals(t, file) {
			allowedFiles, known := filesByName[value]
			spelled[path+" "+value] = known
			if known && !plainWord.MatchString(value) && !slices.Contains(allowedFiles, path) {
				t.Errorf("%s spells %q, which only %s may spell", path, value, allowedFiles)
			}
		}
	})
	namesInCommentsFile := "internal/wire/reply.go"
	for wireName, allowedFiles := range filesByName {
		for _, path := range allowedFiles {
			if path != namesInCommentsFile && !spelled[path+" "+wireName] {
				t.Errorf("%s does not spell %q", path, wireName)
			}
		}
	}
}
