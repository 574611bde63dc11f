package main

import (
	"bufio"
	"fmt"
	"os"
	"path"
	"regexp"
	"strings"
)

var (
	// innerCapital is an identifier in which a lower-case letter or digit is followed by a capital.
	innerCapital = regexp.MustCompile(`\b(?:[a-z]|[A-Za-z][A-Za-z0-9]*[a-z0-9])[A-Z][A-Za-z0-9]*\b`)
	// packagePath is a path below internal or decide, or of the pages and tools of the project.
	packagePath = regexp.MustCompile(
		`\b(?:internal|decide|simulation|frontend|fake|experiment)/[a-z0-9_/]*[a-z0-9](?:\.go)?`)
	// qualified is a name of a package of this module and an exported identifier.
	qualified = regexp.MustCompile(`\b([a-z][a-z0-9]+)\.([A-Z][A-Za-z0-9]*)\b`)
)

// checker knows which names exist.
type checker struct {
	names   map[string]bool
	folders map[string]bool
	allowed map[string]bool // true once it was needed
}

// comment returns a line for each name of a comment that does not exist.
func (c *checker) comment(text comment) []string {
	return c.text(text.position, text.text)
}

func (c *checker) text(position, text string) (findings []string) {
	report := func(name string) {
		findings = append(findings, fmt.Sprintf("%s: %s does not exist", position, name))
	}
	for _, name := range innerCapital.FindAllString(text, -1) {
		if !c.exists(name) {
			report(name)
		}
	}
	for _, match := range qualified.FindAllStringSubmatch(text, -1) {
		if c.isPackage(match[1]) && !c.exists(match[2]) {
			report(match[0])
		}
	}
	for _, name := range packagePath.FindAllString(text, -1) {
		if !c.isFolder(name) && !c.isAllowed(name) {
			report(name)
		}
	}
	return findings
}

// exists reports whether the code has the name, or its singular, or it is allowed.
func (c *checker) exists(name string) bool {
	return c.names[name] || c.names[strings.TrimSuffix(name, "s")] || c.isAllowed(name)
}

func (c *checker) isAllowed(name string) bool {
	_, ok := c.allowed[name]
	if ok {
		c.allowed[name] = true
	}
	return ok
}

// isPackage reports whether a folder of the module has the name.
func (c *checker) isPackage(name string) bool {
	for folder := range c.folders {
		if path.Base(folder) == name {
			return true
		}
	}
	return false
}

// isFolder reports whether the name is a folder or file, from the root or below internal.
func (c *checker) isFolder(name string) bool {
	for _, base := range []string{"", "internal/", "internal/decide/"} {
		if c.folders[base+name] || c.folders[base+name+".go"] {
			return true
		}
	}
	return false
}

// unusedAllowances returns a line for each allowance that nothing needed.
func (c *checker) unusedAllowances() (findings []string) {
	for name, used := range c.allowed {
		if !used {
			findings = append(findings, fmt.Sprintf("%s: %s stands nowhere", allowedPath, name))
		}
	}
	return findings
}

// readAllowed reads lines of a name and its reason.
func readAllowed(file string) (map[string]bool, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	allowed := map[string]bool{}
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		name, reason, _ := strings.Cut(strings.TrimSpace(lines.Text()), " ")
		if name == "" || strings.HasPrefix(name, "#") {
			continue
		}
		if strings.TrimSpace(reason) == "" {
			return nil, fmt.Errorf("%s: %s has no reason", file, name)
		}
		allowed[name] = false
	}
	return allowed, lines.Err()
}
