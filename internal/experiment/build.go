package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"go/ast"
	"go/format"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
)

// Constant is a new value for a constant in the source of the balancing decisions.
type Constant struct {
	Package string // the package's folder in the module, such as "balancer" or "internal/decide/concurrency"
	Name    string
	Value   string // a Go expression
}

// ParseConstant parses a constant and its new value, written as FOLDER.NAME=EXPRESSION.
func ParseConstant(text string) (Constant, error) {
	key, value, ok := strings.Cut(text, "=")
	key = strings.TrimSpace(key)
	value = strings.TrimSpace(value)
	dot := strings.LastIndex(key, ".")
	if !ok || dot < 1 || value == "" || !token.IsIdentifier(key[dot+1:]) {
		return Constant{}, fmt.Errorf("%q is not FOLDER.NAME=EXPRESSION, such as balancer.maxAcceptWeight=1.3", text)
	}
	c := Constant{filepath.Clean(key[:dot]), key[dot+1:], value}
	if _, err := parser.ParseExpr(c.Value); err != nil {
		return c, fmt.Errorf("%s: %q is not a Go expression: %w", key, value, err)
	}
	if !filepath.IsLocal(c.Package) {
		return c, fmt.Errorf("%s: the folder must be in the module", key)
	}
	return c, nil
}

// Build compiles the dunlinsail-experiment of the module at root with changed values of constants, and writes it to
// the file program. The module's files stay unchanged: the edited sources are passed as an overlay (go help build,
// -overlay). A variant selects the resulting program with the prefix @PROGRAM: (see ParseVariant).
func Build(ctx context.Context, root, program string, constants []Constant) error {
	dir, err := os.MkdirTemp("", "dunlinsail-experiment")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	files := map[string][]byte{}
	for _, c := range constants {
		if err := c.applyTo(root, files); err != nil {
			return err
		}
	}
	overlay := map[string]string{}
	for path, text := range files {
		name := filepath.Join(dir, fmt.Sprintf("%d.go", len(overlay)))
		if err := os.WriteFile(name, text, 0o600); err != nil {
			return err
		}
		overlay[path] = name
	}
	overlayJSON, err := json.Marshal(map[string]any{"Replace": overlay})
	if err != nil {
		return err
	}
	overlayFile := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(overlayFile, overlayJSON, 0o600); err != nil {
		return err
	}
	if program, err = filepath.Abs(program); err != nil {
		return err
	}
	cmd := exec.CommandContext(
		ctx, "go", "build", "-overlay", overlayFile, "-o", program, "./cmd/dunlinsail-experiment",
	)
	cmd.Dir = root
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	if err := cmd.Run(); err != nil {
		return fmt.Errorf("go build: %w: %s", err, strings.TrimSpace(stderr.String()))
	}
	return nil
}

// applyTo sets the constant's new value in its source file. files holds the edited sources by absolute path; a file
// that it does not hold yet is read from the module at root.
func (c *Constant) applyTo(root string, files map[string][]byte) error {
	dir, err := filepath.Abs(filepath.Join(root, c.Package))
	if err != nil {
		return err
	}
	sourceFiles, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		return err
	}
	sourceFiles = slices.DeleteFunc(sourceFiles, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
	if len(sourceFiles) == 0 {
		return fmt.Errorf("%s: %w", c.Package, fs.ErrNotExist)
	}
	for _, path := range sourceFiles {
		source, ok := files[path]
		if !ok {
			if source, err = os.ReadFile(path); err != nil {
				return err
			}
		}
		fileSet := token.NewFileSet()
		f, err := parser.ParseFile(fileSet, path, source, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		expr := findConstant(f, c.Name)
		if expr == nil {
			continue
		}
		from := fileSet.Position(expr.Pos()).Offset
		to := fileSet.Position(expr.End()).Offset
		edited := slices.Concat(source[:from], []byte(c.Value), source[to:])
		if files[path], err = format.Source(edited); err != nil {
			return fmt.Errorf("%s.%s: %w", c.Package, c.Name, err)
		}
		return nil
	}
	return fmt.Errorf("package %s, constant %s: %w", c.Package, c.Name, errNoConstant)
}

// errNoConstant is the error for a constant that the source does not declare with a value of its own.
var errNoConstant = errors.New("no constant of this name is declared with a value of its own")

// findConstant returns the value expression of a package-level constant, or nil if the file gives it none.
func findConstant(f *ast.File, name string) ast.Expr {
	for _, decl := range f.Decls {
		genDecl, ok := decl.(*ast.GenDecl)
		if !ok || genDecl.Tok != token.CONST {
			continue
		}
		for _, spec := range genDecl.Specs {
			valueSpec := spec.(*ast.ValueSpec)
			for i, ident := range valueSpec.Names {
				if ident.Name == name && i < len(valueSpec.Values) {
					return valueSpec.Values[i]
				}
			}
		}
	}
	return nil
}
