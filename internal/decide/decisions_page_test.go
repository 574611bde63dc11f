package decide

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"dunlinsail/internal/fake/require"
)

const (
	repositoryRoot = "../.."
	decisionsPage  = repositoryRoot + "/docs/DECISIONS.md"
)

// Indexes of the cells in a table row of the decisions page.
const (
	columnQuestion = iota + 1
	columnRule
	columnFunctions // `file`: `function`, ...; separated by semicolons if there are several files
	columnInputs
	columnConstants // constants and settings that the packages of these files declare
	columnOutputs   // log messages and metric names in backquotes
	columnCount
)

var backquoted = regexp.MustCompile("`([^`]+)`")

// declaredNames are the names that a Go package or file declares.
type declaredNames struct {
	functions map[string]bool // functions and methods, without receivers
	values    map[string]bool // constants, variables and struct fields
}

// decisionRows returns the cells of each table row of the decisions page, by line number.
func decisionRows(t *testing.T) map[int][]string {
	t.Helper()
	text, err := os.ReadFile(decisionsPage)
	require.NoError(t, err)
	rows := map[int][]string{}
	for i, line := range strings.Split(string(text), "\n") {
		cells := strings.Split(line, "|")
		if !strings.HasPrefix(line, "| ") || strings.HasPrefix(line, "| ---") || strings.HasPrefix(line, "| question") {
			continue
		}
		if len(cells) != columnCount+1 {
			t.Fatalf("line %d has %d cells, want %d", i+1, len(cells)-2, columnCount-1)
		}
		rows[i+1] = cells
	}
	return rows
}

// parseNames returns the names that the given Go files declare.
func parseNames(t *testing.T, files ...string) declaredNames {
	t.Helper()
	names := declaredNames{functions: map[string]bool{}, values: map[string]bool{}}
	for _, path := range files {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		require.NoError(t, err)
		ast.Inspect(file, func(node ast.Node) bool {
			switch declaration := node.(type) {
			case *ast.FuncDecl:
				names.functions[declaration.Name.Name] = true
			case *ast.ValueSpec:
				names.addValues(declaration.Names)
			case *ast.Field:
				names.addValues(declaration.Names)
			}
			return true
		})
	}
	return names
}

func (n declaredNames) addValues(identifiers []*ast.Ident) {
	for _, identifier := range identifiers {
		n.values[identifier.Name] = true
	}
}

// packageFiles returns the paths of the Go files of a folder, without tests.
func packageFiles(t *testing.T, folder string) (files []string) {
	t.Helper()
	paths, err := filepath.Glob(folder + "/*.go")
	require.NoError(t, err)
	for _, path := range paths {
		if !strings.HasSuffix(path, "_test.go") {
			files = append(files, path)
		}
	}
	return files
}

// sourcePath returns the path, relative to this folder, of a file that the page names. Pages omit a leading internal/.
func sourcePath(pagePath string) string {
	path := filepath.Join(repositoryRoot, pagePath)
	if _, err := os.Stat(path); err == nil {
		return path
	}
	return filepath.Join(repositoryRoot, "internal", pagePath)
}

// Each function that the decisions page names exists in the file that the page names for it. Each constant and setting
// exists in the packages of the files of its row.
func TestDecisionsPageNamesExist(t *testing.T) {
	for line, cells := range decisionRows(t) {
		var files []string
		for _, reference := range strings.Split(cells[columnFunctions], ";") {
			if path := checkFunctions(t, line, reference); path != "" {
				files = append(files, packageFiles(t, filepath.Dir(path))...)
			}
		}
		declared := parseNames(t, files...)
		for _, name := range backquoted.FindAllStringSubmatch(cells[columnConstants], -1) {
			if !declared.values[name[1]] {
				t.Errorf("line %d: the packages of this row declare no constant or setting %s", line, name[1])
			}
		}
	}
}

// checkFunctions checks that the file in reference, "`file`: `function`, ...", exists and declares the functions. It
// returns the path of the file, "" if it does not exist.
func checkFunctions(t *testing.T, line int, reference string) string {
	t.Helper()
	names := backquoted.FindAllStringSubmatch(reference, -1)
	if len(names) < 2 || !strings.HasSuffix(names[0][1], ".go") {
		t.Errorf("line %d: %q is no file with functions", line, strings.TrimSpace(reference))
		return ""
	}
	path := sourcePath(names[0][1])
	if _, err := os.Stat(path); err != nil {
		t.Errorf("line %d: %v", line, err)
		return ""
	}
	declared := parseNames(t, path)
	for _, name := range names[1:] {
		if !declared.functions[name[1]] {
			t.Errorf("line %d: %s declares no function %s", line, names[0][1], name[1])
		}
	}
	return path
}

// Each log message and each metric name on the decisions page is a string literal in the code.
func TestDecisionsPageFiguresExist(t *testing.T) {
	literals := map[string]bool{}
	for _, folder := range []string{"balancer", "internal", "cmd"} {
		folder = filepath.Join(repositoryRoot, folder)
		err := filepath.WalkDir(folder, func(path string, _ os.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			return addLiterals(literals, path)
		})
		require.NoError(t, err)
	}
	for line, cells := range decisionRows(t) {
		for _, name := range backquoted.FindAllStringSubmatch(cells[columnOutputs], -1) {
			if !literals[name[1]] {
				t.Errorf("line %d: no program prints %q", line, name[1])
			}
		}
	}
}

// addLiterals adds the string literals of a Go file to literals.
func addLiterals(literals map[string]bool, path string) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	ast.Inspect(file, func(node ast.Node) bool {
		if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
			if text, err := strconv.Unquote(literal.Value); err == nil {
				literals[text] = true
			}
		}
		return true
	})
	return nil
}

// Each file of decision logic in the policy list of deploy/balancer.toml has a row on the decisions page.
func TestDecisionsPageCoversThePolicy(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(repositoryRoot, "deploy", "balancer.toml"))
	require.NoError(t, err)
	policyList := regexp.MustCompile(`(?s)\npolicy = \[(.*?)\]`).FindSubmatch(text)
	if policyList == nil {
		t.Fatal("the deploy file lists no policy files")
	}
	covered := map[string]bool{}
	for _, cells := range decisionRows(t) {
		for _, name := range backquoted.FindAllStringSubmatch(cells[columnFunctions], -1) {
			covered[name[1]] = true
		}
	}
	for _, file := range regexp.MustCompile(`"([^"]+\.go)"`).FindAllSubmatch(policyList[1], -1) {
		if !covered[string(file[1])] {
			t.Errorf("no row names %s", file[1])
		}
	}
}
