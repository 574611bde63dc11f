// Command stalenames finds names in comments and in pages of docs that the code does not have any more: identifiers
// with an inner capital, qualified ones (package.Name) and paths of packages. It prints one line for each and exits
// with 1 if there is one. It reads the tree below the working directory.
//
//	go run ./.ci/stalenames
package main

import (
	"fmt"
	"os"
	"slices"
)

// allowedPath lists names that stand in comments or pages on purpose, each with its reason.
const allowedPath = ".ci/stalenames/allowed.txt"

func main() {
	findings, err := run(".")
	if err != nil {
		fmt.Fprintln(os.Stderr, "stalenames:", err)
		os.Exit(1)
	}
	slices.Sort(findings)
	for _, finding := range findings {
		fmt.Println(finding)
	}
	if len(findings) > 0 {
		os.Exit(1)
	}
}

// run returns a line for each name in the tree at root that does not exist.
func run(root string) ([]string, error) {
	allowed, err := readAllowed(root + "/" + allowedPath)
	if err != nil {
		return nil, err
	}
	tree, err := readTree(root)
	if err != nil {
		return nil, err
	}
	check := checker{names: tree.names, folders: tree.folders, allowed: allowed}
	var findings []string
	for _, text := range tree.comments {
		findings = append(findings, check.comment(text)...)
	}
	pages, err := checkPages(root, &check)
	if err != nil {
		return nil, err
	}
	findings = append(findings, pages...)
	return append(findings, check.unusedAllowances()...), nil
}
