// Package decide holds nothing itself: each package below it decides one matter, free of I/O.
package decide

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// pure are the packages of the standard library that a decision may use: none reads a clock, draws lots or does
// I/O of its own accord.
var pure = []string{"cmp", "container/heap", "container/list", "errors", "fmt", "iter", "maps", "math", "math/bits",
	"slices", "sort", "strconv", "strings"}

// Time and chance are passed in, and what is decided is carried out by others.
func TestDecisionsArePure(t *testing.T) {
	out, err := exec.Command("go", "list", "-f", `{{.ImportPath}} {{join .Imports " "}}`, "./...").Output()
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(out)) {
		words := strings.Fields(line)
		for _, used := range words[1:] {
			if !slices.Contains(pure, used) && !strings.HasPrefix(used, "dunlinsail/internal/decide/") {
				t.Errorf("%s imports %s", words[0], used)
			}
		}
	}
}
