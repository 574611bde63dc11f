// Package accesslog writes and reads access records: the requests that an instance received, when, and their outcomes,
// for inspection and for replay in the simulation of the fleet. They hold no patient data: a path is given as the name
// of its route, and keys and objects as keyed hashes with a secret of the operators. The package must not import HTTP or
// decisions.
//
// A record is a directory of segments, each an Apache Parquet file that is complete or absent: it is written under a
// temporary name, synced and renamed. Rows in the memory of a process that dies are lost; gaps in their numbers show it.
package accesslog

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"math"
	"os"
	"strings"
)

// Version is the version of the meaning of rows.
const Version = 1

// Verdicts of requests, as stored in Row.Verdict.
const (
	Served    = "served"
	Rejected  = "refused"
	Failed    = "failed"
	TimedOut  = "late" // failed, and the last attempt ran out of time
	Cancelled = "left" // its client went before its answer
)

// Row is one request of a client.
type Row struct {
	Seq           int64  `parquet:"seq,delta"`        // counts up in one run; gaps were lost or not sampled
	Arrived       int64  `parquet:"arrived_us,delta"` // Unix µs, by a clock that does not step during a run
	Duration      int64  `parquet:"took_us"`          // µs until its response was sent, or its client left
	QueueTime     int64  `parquet:"waited_us"`        // µs of this in queues
	ClientTimeout int64  `parquet:"patience_us"`      // µs for which its client waits
	Client        string `parquet:"client,dict"`      // as the instance knows it
	Route         string `parquet:"route,dict"`       // "" without routes
	Class         string `parquet:"class,dict"`
	Tenant        string `parquet:"tenant,dict"`
	Verdict       string `parquet:"verdict,dict"`
	Endpoint      string `parquet:"endpoint,dict"` // that served it; "" is none
	Status        int32  `parquet:"status"`        // of HTTP, as the client got it; 0 where it left
	Attempts      int32  `parquet:"attempts"`
	KeyHash       uint64 `parquet:"key_hash"`    // 0 is none
	ObjectHash    uint64 `parquet:"object_hash"` // 0 is none
	BytesIn       int64  `parquet:"bytes_in"`    // of the request's body; -1 is not known
	BytesOut      int64  `parquet:"bytes_out"`   // of the answer's
	Retry         bool   `parquet:"retry"`       // its client said that it is a repetition
}

// Hasher makes keyed hashes. Instances with the same secret make the same, so that a key can be followed from one to
// another; nobody without it can tell whose a hash is.
type Hasher struct{ secret []byte }

// minSecretBytes is how many bytes a secret has at least.
const minSecretBytes = 16

// NewHasher returns a hasher with a secret from a file, or the error of one that is too short.
func NewHasher(path string) (*Hasher, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	secret := strings.TrimSpace(string(text))
	if len(secret) < minSecretBytes {
		return nil, fmt.Errorf("%s: the secret has %d bytes, at least %d are needed", path, len(secret), minSecretBytes)
	}
	return NewHasherFromSecret([]byte(secret)), nil
}

// NewHasherFromSecret returns a hasher with a secret.
func NewHasherFromSecret(secret []byte) *Hasher { return &Hasher{secret} }

// Hash returns 64 bits of HMAC-SHA256 (RFC 2104) of a text, of a kind: the same text as a key and as an object has two
// hashes. That of "" is 0, and of nothing else.
func (h *Hasher) Hash(kind, text string) uint64 {
	if text == "" {
		return 0
	}
	m := hmac.New(sha256.New, h.secret)
	m.Write([]byte(kind))
	m.Write([]byte{0})
	m.Write([]byte(text))
	return max(1, binary.BigEndian.Uint64(m.Sum(nil)))
}

// Sampled reports whether a request belongs to a sample of a part: by its key or, without one, its object, so that all
// tries for one thing are in it or none is; by its number where it has neither.
func Sampled(r *Row, part float64) bool {
	if part >= 1 {
		return true
	}
	x := r.KeyHash
	if x == 0 {
		x = r.ObjectHash
	}
	if x == 0 {
		x = uint64(r.Seq)*0x9e3779b97f4a7c15 ^ uint64(r.Arrived)
	}
	// The hash's own bits go on being used by others: these are mixed anew (MurmurHash3's finalizer).
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x) < part*math.MaxUint64
}
