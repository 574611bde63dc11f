package experiment

import (
	"errors"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"dunlinsail/internal/fake/require"
)

// changedLines returns the number of lines in which text differs from the file name. It ignores white space, since
// gofmt realigns the comments of adjacent lines.
func changedLines(t *testing.T, name string, text []byte) (changed int) {
	t.Helper()
	original, err := os.ReadFile(name)
	require.NoError(t, err)
	lines := strings.Split(string(text), "\n")
	for i, line := range strings.Split(string(original), "\n") {
		if !slices.Equal(strings.Fields(lines[i]), strings.Fields(line)) {
			changed++
		}
	}
	return changed
}

// Setting constants of the balancing decisions changes only the lines that declare them. Unknown constants or
// folders, and invalid expressions, are errors.
func TestConstants(t *testing.T) {
	root := "../.."
	files := map[string][]byte{}
	for _, text := range []string{
		"balancer.maxAcceptWeight=1.3", "balancer.breakerWindow = 30 * second",
		"internal/decide/concurrency.defaultShrinkThreshold=1.0 / 3",
	} {
		c, err := ParseConstant(text)
		if err == nil {
			err = c.applyTo(root, files)
		}
		require.NoError(t, err)
	}
	if len(files) != 2 {
		t.Fatalf("%d files were edited, want 2", len(files))
	}
	for name, text := range files {
		if _, err := parser.ParseFile(token.NewFileSet(), name, text, 0); err != nil {
			t.Error(err)
		}
		changed := changedLines(t, name, text)
		if want := map[string]int{"breaker.go": 2, "limiter.go": 1}[filepath.Base(name)]; changed != want {
			t.Errorf("%s: %d lines changed, want %d", name, changed, want)
		}
	}
	for text, want := range map[string]error{
		"balancer.maxAcceptWeight":     nil,
		"maxAcceptWeight=1":            nil,
		"balancer.maxAcceptWeight=1 +": nil,
		"../x.maxAcceptWeight=1":       nil,
		"balancer.noSuch=1":            errNoConstant,
		"balancer.Balancer=1":          errNoConstant,
		"noSuch.maxAcceptWeight=1":     fs.ErrNotExist,
	} {
		c, err := ParseConstant(text)
		if err == nil {
			err = c.applyTo(root, files)
		}
		if err == nil || want != nil && !errors.Is(err, want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// RunSize runs a simulation in a separate process and returns the processor time and memory that this used. The
// result is the same with one processor and with four. A missing program is an error.
func TestScaling(t *testing.T) {
	self := must[string](t)(os.Executable())
	sc := Scaling{
		Scenario:   shortScenario(t),
		Variant:    parseVariant(t, Shipped),
		Subset:     6,
		Operations: 800,
		Seed:       1,
		Program:    self,
	}
	var first *SizeRun
	for _, n := range []string{"1", "4"} {
		sc.Env = []string{"LAB_TEST_AS=build", "GOMAXPROCS=" + n}
		run := must[*SizeRun](t)(sc.RunSize(t.Context(), Size{3, 12}))
		if run.Subset != 12 || run.Operations < 600 || run.Operations > 1000 || run.Memory < 1<<20 ||
			run.ProcessorTime <= 0 || run.Decisions < run.Operations {
			t.Errorf("%+v", run)
		}
		if first == nil {
			first = run
		}
		if run.Result.Digest != first.Result.Digest {
			t.Errorf("digest %s with %s processors, %s with one", run.Result.Digest, n, first.Result.Digest)
		}
	}
	sc.Program = filepath.Join(t.TempDir(), "gone")
	if _, err := sc.RunSize(t.Context(), Size{3, 12}); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("a program that does not exist: %v", err)
	}
}
