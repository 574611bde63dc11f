package webapp

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"io"
	"net/http"
	"slices"
	"strings"
)

// WriteBody writes size bytes of a fixed pattern.
func WriteBody(w io.Writer, size int) error {
	for size > 0 {
		part := pattern[:min(size, len(pattern))]
		if _, err := w.Write(part); err != nil {
			return err
		}
		size -= len(part)
	}
	return nil
}

// patternSize is the length of the repeated pattern, in bytes.
const patternSize = 16 << 10

// pattern is lower-case letters from a linear congruential generator (Numerical Recipes' constants).
var pattern = func() (letters [patternSize]byte) {
	x := uint32(1)
	for i := range letters {
		x = x*1664525 + 1013904223
		letters[i] = 'a' + byte(x>>24)%26
	}
	return letters
}()

// Digest is a writer that computes the length and SHA-256 of a body. The zero Digest is ready to use.
type Digest struct {
	length int64
	hash   hash.Hash
}

// Write adds bytes to the digest; it never fails.
func (d *Digest) Write(p []byte) (int, error) {
	if d.hash == nil {
		d.hash = sha256.New()
	}
	d.length += int64(len(p))
	return d.hash.Write(p)
}

// String returns the length in bytes and the first 8 bytes of the hash in hexadecimal, or "0" for an empty body.
func (d *Digest) String() string {
	if d.length == 0 {
		return "0"
	}
	return fmt.Sprint(d.length, " ", hex.EncodeToString(d.hash.Sum(nil)[:8]))
}

// HeaderText returns a header as one line, sorted by name, without the fields named in without (canonical names).
func HeaderText(h http.Header, without ...string) string {
	var all []string
	for name, values := range h {
		if !slices.Contains(without, name) {
			all = append(all, fmt.Sprintf("%s: %q", name, values))
		}
	}
	slices.Sort(all)
	return strings.Join(all, "; ")
}
