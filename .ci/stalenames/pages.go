package main

import (
	"fmt"
	"os"
	"regexp"
	"strings"
)

// page is a page of docs whose names are held against the code.
type page struct {
	path string
	// cells is how many cells of a table row are read, from the left; 0 is all. The last cells of the glossary's
	// tables hold earlier names.
	cells int
}

var pages = []page{
	{path: "docs/ARCHITECTURE.md"},
	{path: "docs/GLOSSARY.md", cells: 2},
	{path: "docs/DECISIONS.md"},
	{path: "docs/operators/capacity.md"},
}

// code is text in backquotes.
var code = regexp.MustCompile("`[^`]+`")

// checkPages returns a line for each name in backquotes on the pages that does not exist.
func checkPages(root string, c *checker) (findings []string, err error) {
	for _, p := range pages {
		text, err := os.ReadFile(root + "/" + p.path)
		if err != nil {
			return nil, err
		}
		for i, line := range strings.Split(string(text), "\n") {
			position := fmt.Sprintf("%s:%d", p.path, i+1)
			for _, name := range code.FindAllString(readCells(line, p.cells), -1) {
				findings = append(findings, c.text(position, strings.Trim(name, "`"))...)
			}
		}
	}
	return findings, nil
}

// readCells returns the cells of a table row that are to be read, or a line that is no row as it is.
func readCells(line string, cells int) string {
	if cells == 0 || !strings.HasPrefix(line, "|") {
		return line
	}
	parts := strings.Split(line, "|")
	return strings.Join(parts[:min(len(parts), cells+1)], "|")
}
