// Package configcache caches on disk the rollout state of an instance and the contents of its last known good
// versions of the configuration, so that a restart does not depend on the control plane. A file is replaced
// atomically, and the state before the last one is retained as a fallback. The package stores contents by their digest;
// it must not import packages that interpret them.
package configcache

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"dunlinsail/internal/decide/rollout"
)

// Cache is a folder of cached versions. It has one writer at a time; other processes may read it meanwhile.
//
//	state            a line with format and checksum, then rollout.PersistentState as JSON
//	state.before     the same, as it was before the last Save
//	content-DIGEST   the content of a version that either of them names
type Cache struct{ path string }

// Names and headers of files. They are a stored form, which other builds read, too.
const (
	stateFile         = "state"
	previousStateFile = "state.before"
	contentPrefix     = "content-"
	temporarySuffix   = ".part"
	stateHeader       = "dunlinsail versions 1 sha256 "
)

// maxFileBytes is the largest size of a file that is read. A Cache writes none that is larger.
const maxFileBytes = 256 << 20

// folderMode is the permissions of the folder.
const folderMode = 0o700

// ErrCorrupt is wrapped by the errors of files whose content is not what a Cache wrote.
var ErrCorrupt = errors.New("corrupt file")

// Open returns the cache in a folder, which it creates if necessary.
func Open(path string) (*Cache, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, err
	}
	return &Cache{path}, nil
}

// Load returns the newest state that can be read, and the name of its file; nil if nothing was ever saved. Its error is
// that of newer files that were skipped, and wraps ErrCorrupt if one is corrupt.
func (c *Cache) Load() (state *rollout.PersistentState, file string, err error) {
	var skipped []error
	for _, name := range []string{stateFile, previousStateFile} {
		state, err := c.loadState(name)
		switch {
		case err == nil:
			return state, name, errors.Join(skipped...)
		case !errors.Is(err, fs.ErrNotExist):
			skipped = append(skipped, fmt.Errorf("%s: %w", filepath.Join(c.path, name), err))
		}
	}
	return nil, "", errors.Join(skipped...)
}

// loadState reads a state file. Its error wraps ErrCorrupt if the file is corrupt, and fs.ErrNotExist if there is none.
func (c *Cache) loadState(name string) (*rollout.PersistentState, error) {
	text, err := c.readFile(name)
	if err != nil {
		return nil, err
	}
	header, body, hasBody := bytes.Cut(text, []byte("\n"))
	storedSum, hasHeader := strings.CutPrefix(string(header), stateHeader)
	if !hasBody || !hasHeader || storedSum != checksum(body) {
		return nil, ErrCorrupt
	}
	var state rollout.PersistentState
	if err := json.Unmarshal(body, &state); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return &state, nil
}

func checksum(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// contentFile returns the name of the file of a content, or an error if the digest is not hexadecimal: it must not
// name another file.
func contentFile(digest string) (string, error) {
	if _, err := hex.DecodeString(digest); err != nil || digest == "" {
		return "", fmt.Errorf("invalid digest %q", digest)
	}
	return contentPrefix + digest, nil
}

// Content returns the content of a version by its digest. The caller verifies that the digest matches: only it knows
// how digests are computed. The error wraps fs.ErrNotExist if the content is not cached.
func (c *Cache) Content(digest string) ([]byte, error) {
	name, err := contentFile(digest)
	if err != nil {
		return nil, err
	}
	return c.readFile(name)
}

// Save stores the state, and the contents of the versions that it refers to which are not stored yet. Contents that
// neither this state nor the one before refers to are removed. After an error the cache is as it was before.
func (c *Cache) Save(state *rollout.PersistentState, contents map[string][]byte) error {
	if err := c.saveContents(state, contents); err != nil {
		return err
	}
	body, err := json.MarshalIndent(state, "", "  ")
	if err != nil {
		return err
	}
	if err := c.backUpState(); err != nil {
		return err
	}
	if err := c.writeFile(stateFile, append([]byte(stateHeader+checksum(body)+"\n"), body...)); err != nil {
		return err
	}
	c.removeUnreferenced()
	return nil
}

// saveContents stores the contents that a state refers to and that are not stored yet.
func (c *Cache) saveContents(state *rollout.PersistentState, contents map[string][]byte) error {
	for digest := range referencedDigests(state) {
		text, available := contents[digest]
		name, err := contentFile(digest)
		if err != nil {
			return err
		}
		if _, err := os.Stat(filepath.Join(c.path, name)); err == nil || !available {
			continue
		}
		if err := c.writeFile(name, text); err != nil {
			return err
		}
	}
	return nil
}

// referencedDigests returns the digests of the versions that may be applied again after a restart.
func referencedDigests(state *rollout.PersistentState) map[string]bool {
	digests := map[string]bool{}
	for _, version := range []*rollout.LayeredVersion{state.LastKnownGood, state.PreviousGood} {
		if version == nil {
			continue
		}
		digests[version.File.Digest] = true
		if version.ControlPlane != nil {
			digests[version.ControlPlane.Digest] = true
		}
	}
	return digests
}
