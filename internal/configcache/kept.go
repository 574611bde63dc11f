// Package configcache keeps on disk what an instance knows of the versions of its configuration, and their contents, so that it
// starts with the last good one while the service that sends them is away. What is written is written whole or not at all,
// and what was there before stays beside it until the next time. It knows nothing of what is in a version.
package configcache

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"dunlinsail/internal/decide/rollout"
)

// Dir is a folder of versions. It has one writer at a time; readers may come at any time.
//
//	state            what is known: a line with format and checksum, and JSON
//	state.before     the same, as it was before
//	content-DIGEST   what is in a version that either of them names
type Cache struct{ path string }

const (
	stateFile         = "state"
	previousStateFile = "state.before"
	contentPrefix     = "content-"
	temporarySuffix   = ".part"
	stateHeader       = "dunlinsail versions 1 sha256 "
)

// fileMost is the most bytes that are read of a file: what is larger was not written here.
const maxFileBytes = 256 << 20

// Open returns a folder, which it makes if need be.
func Open(path string) (*Cache, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	return &Cache{path}, nil
}

// ErrSpoilt is wrapped by the errors of what is there and is not what was written.
var ErrCorrupt = errors.New("is not what was written")

// Load returns what is known, and which of the files it is from; nil where nothing was ever written. A newer one that is
// spoilt is passed over for the one before it; its error is returned beside that.
func (d *Cache) Load() (k *rollout.PersistentState, from string, err error) {
	var all []error
	for _, name := range []string{stateFile, previousStateFile} {
		k, err := d.loadState(name)
		switch {
		case err == nil:
			return k, name, errors.Join(all...)
		case !errors.Is(err, fs.ErrNotExist):
			all = append(all, fmt.Errorf("%s: %w", filepath.Join(d.path, name), err))
		}
	}
	return nil, "", errors.Join(all...)
}

func (d *Cache) loadState(name string) (*rollout.PersistentState, error) {
	text, err := d.readFile(name)
	if err != nil {
		return nil, err
	}
	line, body, ok := bytes.Cut(text, []byte("\n"))
	sum, format := strings.CutPrefix(string(line), stateHeader)
	if !ok || !format || sum != checksum(body) {
		return nil, ErrCorrupt
	}
	var k rollout.PersistentState
	if err := json.Unmarshal(body, &k); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return &k, nil
}

func checksum(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

func (d *Cache) readFile(name string) ([]byte, error) {
	f, err := os.Open(filepath.Join(d.path, name))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err == nil && len(text) > maxFileBytes {
		err = fmt.Errorf("%w: over %d bytes", ErrCorrupt, maxFileBytes)
	}
	return text, err
}

// contentFile is the name of the file for a version's content. A digest that cannot be a part of a name is no digest.
func contentFile(digest string) (string, error) {
	if _, err := hex.DecodeString(digest); err != nil || digest == "" {
		return "", fmt.Errorf("%q is no digest", digest)
	}
	return contentPrefix + digest, nil
}

// Content returns what is in a version, by its digest. That it is what the digest says, is the caller's to see: it knows how
// digests are made.
func (d *Cache) Content(digest string) ([]byte, error) {
	name, err := contentFile(digest)
	if err != nil {
		return nil, err
	}
	return d.readFile(name)
}

// Save writes down what is known, and the contents that are not there yet of the versions that it names. What neither it nor
// the one before it names is removed.
func (d *Cache) Save(k *rollout.PersistentState, contents map[string][]byte) error {
	for digest := range referencedDigests(k) {
		text, have := contents[digest]
		name, err := contentFile(digest)
		if err != nil {
			return err
		}
		if _, err := os.Stat(filepath.Join(d.path, name)); err == nil || !have {
			continue
		}
		if err := d.writeFile(name, text); err != nil {
			return err
		}
	}
	body, err := json.MarshalIndent(k, "", "  ")
	if err != nil {
		return err
	}
	if _, err := d.loadState(stateFile); err == nil { // one that is spoilt is not worth to be kept
		before := filepath.Join(d.path, previousStateFile)
		os.Remove(before + temporarySuffix) // of one that crashed here
		if err := os.Link(filepath.Join(d.path, stateFile), before+temporarySuffix); err != nil {
			return err
		}
		if err := os.Rename(before+temporarySuffix, before); err != nil {
			return err
		}
	}
	if err := d.writeFile(stateFile, append([]byte(stateHeader+checksum(body)+"\n"), body...)); err != nil {
		return err
	}
	d.removeUnreferenced()
	return nil
}

// write writes a file whole, or leaves what was there.
func (d *Cache) writeFile(name string, text []byte) error {
	path := filepath.Join(d.path, name)
	f, err := os.OpenFile(path+temporarySuffix, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(path+temporarySuffix, path)
	}
	if err != nil {
		os.Remove(path + temporarySuffix) // it frees what a full disk needs
		return err
	}
	return d.syncFolder()
}

// sync has the folder's entries outlast a crash of the host.
func (d *Cache) syncFolder() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// tidy removes contents that nothing names any more. What cannot be removed does no harm.
func (d *Cache) removeUnreferenced() {
	keep := map[string]bool{}
	for _, name := range []string{stateFile, previousStateFile} {
		k, err := d.loadState(name)
		if err != nil {
			continue
		}
		for digest := range referencedDigests(k) {
			keep[contentPrefix+digest] = true
		}
	}
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return
	}
	for _, e := range entries {
		if name := e.Name(); strings.HasPrefix(name, contentPrefix) && !keep[name] {
			os.Remove(filepath.Join(d.path, name))
		}
	}
}

// named returns the digests of the versions that are needed again.
func referencedDigests(k *rollout.PersistentState) map[string]bool {
	all := map[string]bool{}
	for _, p := range []*rollout.LayeredVersion{k.LastKnownGood, k.PreviousGood} {
		if p == nil {
			continue
		}
		all[p.File.Digest] = true
		if p.ControlPlane != nil {
			all[p.ControlPlane.Digest] = true
		}
	}
	return all
}
