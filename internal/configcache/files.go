package configcache

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
)

// fileMode is the permissions of all files. Other users must not read them, since contents may be confidential.
const fileMode = 0o600

// readFile reads the file called name. A file of more than maxFileBytes is corrupt.
func (c *Cache) readFile(name string) ([]byte, error) {
	f, err := os.Open(filepath.Join(c.folder, name))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	content, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err == nil && len(content) > maxFileBytes {
		err = fmt.Errorf("%w: over %d bytes", ErrCorrupt, maxFileBytes)
	}
	return content, err
}

// writeFile replaces the file called name atomically and durably. After an error the file is unchanged.
func (c *Cache) writeFile(name string, content []byte) error {
	path := filepath.Join(c.folder, name)
	temporary := path + temporarySuffix
	if err := writeFileAndSync(temporary, content); err != nil {
		os.Remove(temporary) // frees space on a full disk
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		os.Remove(temporary)
		return err
	}
	return c.syncFolder()
}

// writeFileAndSync writes a file and flushes it to disk.
func writeFileAndSync(path string, content []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return err
	}
	_, err = f.Write(content)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// syncFolder flushes the entries of the folder to disk.
func (c *Cache) syncFolder() error {
	f, err := os.Open(c.folder)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// backUpState replaces the previous state file by a hard link to the state file, unless the latter is missing or
// corrupt.
func (c *Cache) backUpState() error {
	if _, err := c.loadState(stateFile); err != nil {
		return nil //nolint:nilerr // the previous file stays rather than a corrupt one
	}
	previous := filepath.Join(c.folder, previousStateFile)
	temporary := previous + temporarySuffix
	os.Remove(temporary) // a process that crashed here has left it
	if err := os.Link(filepath.Join(c.folder, stateFile), temporary); err != nil {
		return err
	}
	return os.Rename(temporary, previous)
}

// removeUnreferenced removes contents to which neither state file refers. Errors are ignored: a leftover content is
// not used, and the next Save removes it.
func (c *Cache) removeUnreferenced() {
	referenced := map[string]bool{}
	for _, name := range []string{stateFile, previousStateFile} {
		state, err := c.loadState(name)
		if err != nil {
			continue
		}
		for digest := range referencedDigests(state) {
			referenced[contentPrefix+digest] = true
		}
	}
	entries, err := os.ReadDir(c.folder)
	if err != nil {
		return
	}
	for _, entry := range entries {
		name := entry.Name()
		if strings.HasPrefix(name, contentPrefix) && !referenced[name] {
			os.Remove(filepath.Join(c.folder, name))
		}
	}
}
