package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"strings"
)

// comment is the text of a comment group and where it begins.
type comment struct {
	position string // file:line
	text     string
}

// tree is what is read of the code.
type tree struct {
	names    map[string]bool // identifiers of the code, and names within its string literals
	folders  map[string]bool // relative to the root, with slashes
	comments []comment
}

// literalName is a part of a string literal that may be a name.
var literalName = regexp.MustCompile(`[A-Za-z_][A-Za-z0-9_]*`)

// skippedFolders hold no code of the project, or as this command's own tests names that do not exist on purpose.
var skippedFolders = map[string]bool{".git": true, "journal": true, "bin": true, "found": true, "stalenames": true}

func readTree(root string) (*tree, error) {
	t := &tree{names: map[string]bool{}, folders: map[string]bool{}}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if skippedFolders[entry.Name()] {
				return filepath.SkipDir
			}
			t.folders[filepath.ToSlash(relative)] = true
			return nil
		}
		t.folders[filepath.ToSlash(relative)] = true
		if !strings.HasSuffix(path, ".go") {
			return nil
		}
		return t.readFile(path, relative)
	})
	return t, err
}

func (t *tree) readFile(path, relative string) error {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, parser.ParseComments)
	if err != nil {
		return err
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.Ident:
			t.names[n.Name] = true
		case *ast.BasicLit:
			if n.Kind == token.STRING {
				t.addLiteral(n.Value)
			}
		}
		return true
	})
	for _, group := range file.Comments {
		for _, line := range group.List {
			position := files.Position(line.Pos())
			position.Filename = relative
			position.Column = 0
			t.comments = append(t.comments, comment{position: position.String(), text: line.Text})
		}
	}
	return nil
}

// addLiteral adds the names within a string literal: names on the wire, keys of files, flags.
func (t *tree) addLiteral(literal string) {
	for _, name := range literalName.FindAllString(literal, -1) {
		t.names[name] = true
	}
}
