// Package decide has no code of its own: each package below it takes the decisions of one matter, free of I/O.
package decide

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"dunlinsail/internal/fake/require"
)

const (
	decidePrefix = "dunlinsail/internal/decide/"
	enginePath   = "dunlinsail/internal/engine"
)

// pureImports are the packages that a decision package may import, beside other decision packages: the type of its
// instants, and what of the standard library neither reads a clock nor does I/O of its own accord. Of math/rand/v2 only
// seededRandNames may be used.
var pureImports = []string{
	"dunlinsail/internal/monotime",
	"bytes", "cmp", "container/heap", "container/list", "errors", "fmt", "iter", "maps", "math", "math/bits",
	"math/rand/v2", "slices", "sort", "strconv", "strings", "unicode/utf8",
}

// engineImports are the packages that the engine may import beside pureImports.
var engineImports = []string{"hash/fnv", "sync/atomic", "dunlinsail/balancer", "dunlinsail/internal/siteconfig"}

// seededRandNames are the names of math/rand/v2 that draw from a source with a seed.
var seededRandNames = []string{"New", "NewPCG", "NewZipf", "PCG", "Rand", "Source", "Zipf"}

// listedPackage is a package as go list prints it.
type listedPackage struct {
	path    string
	dir     string
	files   []string // without tests
	imports []string
}

// Time and randomness are parameters of a decision, and its caller carries it out: neither the decision
// packages, nor the engine, nor the package of their instants can do I/O or read a clock.
func TestDecisionsArePure(t *testing.T) {
	packages := listPackages(t, "./...", "../engine", "../monotime")
	for _, listed := range packages {
		allowed := pureImports
		if listed.path == enginePath {
			allowed = append(slices.Clone(pureImports), engineImports...)
		}
		for _, imported := range listed.imports {
			if !slices.Contains(allowed, imported) && !strings.HasPrefix(imported, decidePrefix) {
				t.Errorf("%s imports %s", listed.path, imported)
			}
		}
		for _, file := range listed.files {
			for _, name := range unseededRandNames(t, filepath.Join(listed.dir, file)) {
				t.Errorf("%s: %s uses rand.%s, which no seed determines", listed.path, file, name)
			}
		}
	}
}

// listPackages returns the packages of patterns that have files beside tests.
func listPackages(t *testing.T, patterns ...string) []listedPackage {
	t.Helper()
	const format = `{{.ImportPath}} {{.Dir}} {{join .GoFiles ","}} {{join .Imports " "}}`
	out, err := exec.Command("go", append([]string{"list", "-f", format}, patterns...)...).Output()
	require.NoError(t, err)
	var packages []listedPackage
	for line := range strings.Lines(string(out)) {
		fields := strings.Fields(line)
		if len(fields) < 3 {
			continue // test files only
		}
		packages = append(packages, listedPackage{
			path:    fields[0],
			dir:     fields[1],
			files:   strings.Split(fields[2], ","),
			imports: fields[3:],
		})
	}
	return packages
}

// unseededRandNames returns the names of math/rand/v2 in a file that are not in seededRandNames.
func unseededRandNames(t *testing.T, path string) (names []string) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	require.NoError(t, err)
	ast.Inspect(file, func(n ast.Node) bool {
		selector, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		qualifier, ok := selector.X.(*ast.Ident)
		if ok && qualifier.Name == "rand" && !slices.Contains(seededRandNames, selector.Sel.Name) {
			names = append(names, selector.Sel.Name)
		}
		return true
	})
	return names
}
