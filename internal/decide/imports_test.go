// Package decide holds nothing itself: each package below it decides one matter, free of I/O.
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
)

// pure are the packages of the standard library that a decision may use, and the type of its instants: none reads a clock or does I/O of its own
// accord. Of math/rand/v2 only what is seeded may be used.
var pure = []string{"dunlinsail/internal/monotime", "cmp", "bytes", "container/heap", "container/list", "errors", "fmt", "iter", "maps", "math", "math/bits",
	"math/rand/v2", "slices", "sort", "strconv", "strings", "unicode/utf8"}

// seeded are the names of math/rand/v2 that draw from a source with a seed.
var seeded = []string{"New", "NewPCG", "NewZipf", "PCG", "Rand", "Source", "Zipf"}

// Time and chance are passed in, and what is decided is carried out by others.
func TestDecisionsArePure(t *testing.T) {
	out, err := exec.Command("go", "list", "-f", `{{.ImportPath}} {{.Dir}} {{join .GoFiles ","}} {{join .Imports " "}}`, "./...", "../engine").Output()
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(out)) {
		words := strings.Fields(line)
		if len(words) < 3 {
			continue // no files but tests
		}
		allowed := pure
		if words[0] == "dunlinsail/internal/engine" {
			allowed = append(slices.Clone(pure), "hash/fnv", "sync/atomic", "dunlinsail/balancer", "dunlinsail/internal/siteconfig")
		}
		for _, used := range words[3:] {
			if !slices.Contains(allowed, used) && !strings.HasPrefix(used, "dunlinsail/internal/decide/") {
				t.Errorf("%s imports %s", words[0], used)
			}
		}
		for file := range strings.SplitSeq(words[2], ",") {
			for _, drawn := range unseeded(t, filepath.Join(words[1], file)) {
				t.Errorf("%s: %s uses rand.%s, which no seed determines", words[0], file, drawn)
			}
		}
	}
}

// unseeded returns what a file uses of math/rand/v2 beyond what is seeded.
func unseeded(t *testing.T, path string) (names []string) {
	f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(f, func(n ast.Node) bool {
		if s, ok := n.(*ast.SelectorExpr); ok {
			if x, ok := s.X.(*ast.Ident); ok && x.Name == "rand" && !slices.Contains(seeded, s.Sel.Name) {
				names = append(names, s.Sel.Name)
			}
		}
		return true
	})
	return names
}
