// Package accesslog writes and reads access records: the requests that an instance received, with their times and
// outcomes, for inspection and for replay in the simulation of the fleet. They contain no patient data: a path is
// recorded as the name of its route, and keys and objects as hashes keyed with a secret of the operators. The package
// must not import HTTP or decisions.
//
// A record is a directory of segments. Each is an Apache Parquet file that is complete or absent: it is written under a
// temporary name, synced and renamed. Rows in the memory of a process that is killed are lost, which gaps in the rows'
// numbers show.
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

// Version is the version of segments. Read rejects others.
const Version = 1

// Verdicts of requests, as stored in Row.Verdict.
const (
	Served    = "served"
	Rejected  = "refused"
	Failed    = "failed"
	TimedOut  = "late" // failed because the last attempt timed out
	Cancelled = "left" // the client left before the response
)

// Row is one request of a client.
type Row struct {
	Seq           int64  `parquet:"seq,delta"`        // number in its run; missing numbers were lost or not sampled
	Arrived       int64  `parquet:"arrived_us,delta"` // Unix µs, by a clock without steps during a run
	Duration      int64  `parquet:"took_us"`          // µs until the response was sent or the client left
	QueueTime     int64  `parquet:"waited_us"`        // part of Duration spent in queues, in µs
	ClientTimeout int64  `parquet:"patience_us"`      // how long the client waits, in µs
	Client        string `parquet:"client,dict"`      // name by which the instance knows the client
	Route         string `parquet:"route,dict"`       // "" without routes
	Class         string `parquet:"class,dict"`
	Tenant        string `parquet:"tenant,dict"`
	Verdict       string `parquet:"verdict,dict"`
	Endpoint      string `parquet:"endpoint,dict"` // that served it; empty if none
	Status        int32  `parquet:"status"`        // HTTP status of the response; 0 if the client left
	Attempts      int32  `parquet:"attempts"`
	KeyHash       uint64 `parquet:"key_hash"`    // of the idempotency key; 0 if none
	ObjectHash    uint64 `parquet:"object_hash"` // of the requested object; 0 if none
	BytesIn       int64  `parquet:"bytes_in"`    // of the request's body; -1 if unknown
	BytesOut      int64  `parquet:"bytes_out"`   // of the response's body
	Retry         bool   `parquet:"retry"`       // the client marked it as a retry
}

// Hasher computes keyed hashes. Instances with the same secret compute the same, so that a key can be followed from one
// instance to another. Without the secret a hash cannot be traced back to a client.
type Hasher struct{ secret []byte }

// minSecretBytes is the smallest size of a secret, in bytes.
const minSecretBytes = 16

// NewHasher returns a hasher with the secret in a file. It fails if the file cannot be read or the secret is too short.
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

// Hash returns 64 bits of the HMAC-SHA256 (RFC 2104) of a kind and a text: the same text has different hashes as a key
// and as an object. The hash of the empty text, and of no other, is 0.
func (h *Hasher) Hash(kind, text string) uint64 {
	if text == "" {
		return 0
	}
	mac := hmac.New(sha256.New, h.secret)
	mac.Write([]byte(kind))
	mac.Write([]byte{0})
	mac.Write([]byte(text))
	return max(1, binary.BigEndian.Uint64(mac.Sum(nil)))
}

// Constants of the mixing of hashes in Sampled.
const (
	goldenGamma      = 0x9e3779b97f4a7c15 // increment of SplitMix64
	murmurMultiplier = 0xff51afd7ed558ccd // of MurmurHash3's finalizer
	murmurShift      = 33                 // of MurmurHash3's finalizer
)

// Sampled reports whether a request belongs to a sample of the given fraction. A request is sampled by its key or,
// without one, its object, so that all attempts of an operation are in the sample or none is. Without both it is
// sampled by its number.
func Sampled(r *Row, fraction float64) bool {
	if fraction >= 1 {
		return true
	}
	hash := r.KeyHash
	if hash == 0 {
		hash = r.ObjectHash
	}
	if hash == 0 {
		hash = uint64(r.Seq)*goldenGamma ^ uint64(r.Arrived)
	}
	// The hash's own bits have other uses, which must be independent of the sample.
	hash ^= hash >> murmurShift
	hash *= murmurMultiplier
	hash ^= hash >> murmurShift
	return float64(hash) < fraction*math.MaxUint64
}
