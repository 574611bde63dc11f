// Package decide has no code of its own: each package below it makes the decisions on one subject, without I/O.
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

// pureImports are the packages that a decision package may import in addition to other decision packages: the package
// of its instants, and packages of the standard library that neither read a clock nor start I/O themselves. Of
// math/rand/v2, only seededRandNames may be used.
var pureImports = []string{
	"dunlinsail/internal/monotime",
	"bytes", "cmp", "container/heap", "container/list", "errors", "fmt", "iter", "maps", "math", "math/bits",
	"math/rand/v2", "slices", "sort", "strconv", "strings", "unicode/utf8",
}

// engineImports are the packages that the engine may import in addition to pureImports.
var engineImports = []string{"hash/fnv", "sync/atomic", "dunlinsail/balancer", "dunlinsail/internal/siteconfig"}

// seededRandNames are the names of math/rand/v2 that use an explicit, seeded source.
var seededRandNames = []string{"New", "NewPCG", "NewZipf", "PCG", "Rand", "Source", "Zipf"}

// listedPackage is a package as reported by go list.
type listedPackage struct {
	path    string
	dir     string
	files   []string // names of the Go files, without tests
	imports []string
}

// Decision functions get time and randomness as parameters, and their callers execute the decisions. Therefore the
// decision packages, the engine and the package of instants must import nothing that does I/O or reads a clock, and
// must not use random numbers that no seed determines.
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

// listPackages returns the packages that match the patterns, except packages that consist of tests only.
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

// unseededRandNames returns the names of math/rand/v2 that a file uses and that are not in seededRandNames.
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
