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
type Dir struct{ path string }

const (
	stateName   = "state"
	beforeName  = "state.before"
	contentName = "content-"
	partName    = ".part"
	head        = "dunlinsail versions 1 sha256 "
)

// fileMost is the most bytes that are read of a file: what is larger was not written here.
const fileMost = 256 << 20

// Open returns a folder, which it makes if need be.
func Open(path string) (*Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	return &Dir{path}, nil
}

// ErrSpoilt is wrapped by the errors of what is there and is not what was written.
var ErrSpoilt = errors.New("is not what was written")

// Load returns what is known, and which of the files it is from; nil where nothing was ever written. A newer one that is
// spoilt is passed over for the one before it; its error is returned beside that.
func (d *Dir) Load() (k *rollout.PersistentState, from string, err error) {
	var all []error
	for _, name := range []string{stateName, beforeName} {
		k, err := d.load(name)
		switch {
		case err == nil:
			return k, name, errors.Join(all...)
		case !errors.Is(err, fs.ErrNotExist):
			all = append(all, fmt.Errorf("%s: %w", filepath.Join(d.path, name), err))
		}
	}
	return nil, "", errors.Join(all...)
}

func (d *Dir) load(name string) (*rollout.PersistentState, error) {
	text, err := d.read(name)
	if err != nil {
		return nil, err
	}
	line, body, ok := bytes.Cut(text, []byte("\n"))
	sum, format := strings.CutPrefix(string(line), head)
	if !ok || !format || sum != digest(body) {
		return nil, ErrSpoilt
	}
	var k rollout.PersistentState
	if err := json.Unmarshal(body, &k); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSpoilt, err)
	}
	return &k, nil
}

func digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

func (d *Dir) read(name string) ([]byte, error) {
	f, err := os.Open(filepath.Join(d.path, name))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, fileMost+1))
	if err == nil && len(text) > fileMost {
		err = fmt.Errorf("%w: over %d bytes", ErrSpoilt, fileMost)
	}
	return text, err
}

// contentFile is the name of the file for a version's content. A digest that cannot be a part of a name is no digest.
func contentFile(digest string) (string, error) {
	if _, err := hex.DecodeString(digest); err != nil || digest == "" {
		return "", fmt.Errorf("%q is no digest", digest)
	}
	return contentName + digest, nil
}

// Content returns what is in a version, by its digest. That it is what the digest says, is the caller's to see: it knows how
// digests are made.
func (d *Dir) Content(digest string) ([]byte, error) {
	name, err := contentFile(digest)
	if err != nil {
		return nil, err
	}
	return d.read(name)
}

// Save writes down what is known, and the contents that are not there yet of the versions that it names. What neither it nor
// the one before it names is removed.
func (d *Dir) Save(k *rollout.PersistentState, contents map[string][]byte) error {
	for digest := range named(k) {
		text, have := contents[digest]
		name, err := contentFile(digest)
		if err != nil {
			return err
		}
		if _, err := os.Stat(filepath.Join(d.path, name)); err == nil || !have {
			continue
		}
		if err := d.write(name, text); err != nil {
			return err
		}
	}
	body, err := json.MarshalIndent(k, "", "  ")
	if err != nil {
		return err
	}
	if _, err := d.load(stateName); err == nil { // one that is spoilt is not worth to be kept
		before := filepath.Join(d.path, beforeName)
		os.Remove(before + partName) // of one that crashed here
		if err := os.Link(filepath.Join(d.path, stateName), before+partName); err != nil {
			return err
		}
		if err := os.Rename(before+partName, before); err != nil {
			return err
		}
	}
	if err := d.write(stateName, append([]byte(head+digest(body)+"\n"), body...)); err != nil {
		return err
	}
	d.tidy()
	return nil
}

// write writes a file whole, or leaves what was there.
func (d *Dir) write(name string, text []byte) error {
	path := filepath.Join(d.path, name)
	f, err := os.OpenFile(path+partName, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
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
		err = os.Rename(path+partName, path)
	}
	if err != nil {
		os.Remove(path + partName) // it frees what a full disk needs
		return err
	}
	return d.sync()
}

// sync has the folder's entries outlast a crash of the host.
func (d *Dir) sync() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// tidy removes contents that nothing names any more. What cannot be removed does no harm.
func (d *Dir) tidy() {
	keep := map[string]bool{}
	for _, name := range []string{stateName, beforeName} {
		k, err := d.load(name)
		if err != nil {
			continue
		}
		for digest := range named(k) {
			keep[contentName+digest] = true
		}
	}
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return
	}
	for _, e := range entries {
		if name := e.Name(); strings.HasPrefix(name, contentName) && !keep[name] {
			os.Remove(filepath.Join(d.path, name))
		}
	}
}

// named returns the digests of the versions that are needed again.
func named(k *rollout.PersistentState) map[string]bool {
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
