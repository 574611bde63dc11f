// Package configcache caches the rollout state of an instance and the contents of its last known good configuration
// versions on disk, so that a restart does not depend on the control plane. Files are replaced atomically, and the
// previous state is kept as a fallback. The package stores contents by their digests and does not interpret them;
// it must not import packages that do.
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

// Cache is a folder of cached versions. Only one process may write to it at a time; other processes may read it
// concurrently. The files are:
//
//	state            a line with format and checksum, then rollout.PersistentState as JSON
//	state.before     the state file from before the last Save
//	content-DIGEST   the content of a version that one of the state files refers to
type Cache struct{ folder string }

// Names and headers of files. They must not change, since other builds read the same files.
const (
	stateFile         = "state"
	previousStateFile = "state.before"
	contentPrefix     = "content-"
	temporarySuffix   = ".part"
	stateHeader       = "dunlinsail versions 1 sha256 "
)

// maxFileBytes is the largest size of a file that is read. A larger file is corrupt, since a Cache does not write
// one.
const maxFileBytes = 256 << 20

// folderMode is the permissions of the cache's folder, which other users must not read.
const folderMode = 0o700

// ErrCorrupt is wrapped by the error for a file whose content was not written by a Cache.
var ErrCorrupt = errors.New("corrupt file")

// Open returns the cache in the folder at path, which it creates if it does not exist.
func Open(path string) (*Cache, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, err
	}
	return &Cache{path}, nil
}

// Load returns the newest readable state and the name of its file, or nil if there is none. The error joins the
// errors of newer state files that could not be read, even if an older state is returned; it wraps ErrCorrupt if
// one of them is corrupt.
func (c *Cache) Load() (state *rollout.PersistentState, file string, err error) {
	var skipped []error
	for _, name := range []string{stateFile, previousStateFile} {
		state, err := c.loadState(name)
		switch {
		case err == nil:
			return state, name, errors.Join(skipped...)
		case !errors.Is(err, fs.ErrNotExist):
			skipped = append(skipped, fmt.Errorf("%s: %w", filepath.Join(c.folder, name), err))
		}
	}
	return nil, "", errors.Join(skipped...)
}

// loadState reads the state file called name. The error wraps ErrCorrupt if the file is corrupt, and fs.ErrNotExist
// if it does not exist.
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

// checksum returns the SHA-256 checksum of a text in hexadecimal digits.
func checksum(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// contentFile returns the name of the file for the content with a digest. It returns an error if the digest is not
// hexadecimal, so that a digest cannot name a file outside the cache.
func contentFile(digest string) (string, error) {
	if _, err := hex.DecodeString(digest); err != nil || digest == "" {
		return "", fmt.Errorf("invalid digest %q", digest)
	}
	return contentPrefix + digest, nil
}

// Content returns the content of a version by its digest. The caller must verify that the content has this digest,
// since the package does not know how digests are computed. The error wraps fs.ErrNotExist if the content is not
// cached.
func (c *Cache) Content(digest string) ([]byte, error) {
	name, err := contentFile(digest)
	if err != nil {
		return nil, err
	}
	return c.readFile(name)
}

// Save stores a state and the contents of the versions that it refers to, by digest. It then removes contents to
// which neither this state nor the previous one refers. After an error, Load returns the same state as before.
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

// saveContents stores the contents that a state refers to, except for those that are already stored.
func (c *Cache) saveContents(state *rollout.PersistentState, contents map[string][]byte) error {
	for digest := range referencedDigests(state) {
		text, available := contents[digest]
		name, err := contentFile(digest)
		if err != nil {
			return err
		}
		if _, err := os.Stat(filepath.Join(c.folder, name)); err == nil || !available {
			continue
		}
		if err := c.writeFile(name, text); err != nil {
			return err
		}
	}
	return nil
}

// referencedDigests returns the digests of the versions in a state that may be applied again after a restart.
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
