// Package accesslog writes and reads access records: the requests that an instance received, with their times and
// outcomes, for inspection and for replay in the simulation of the fleet. Access records contain no patient data: a
// path is recorded as the name of its route, and idempotency keys and objects as hashes keyed with a secret of the
// operators. The package must not import the packages of HTTP or of decisions.
//
// A record is a folder of segments. Each segment is an Apache Parquet file that is either complete or absent: it is
// written under a temporary name, synced and renamed. If a process is killed, the rows in its memory are lost; gaps in
// the row numbers show the loss.
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

// Version is the version of the segment format. Read rejects segments of other versions.
const Version = 1

// Verdicts of requests, as stored in Row.Verdict.
const (
	Served    = "served"
	Rejected  = "refused"
	Failed    = "failed"
	TimedOut  = "late" // failed because the last attempt timed out
	Cancelled = "left" // the client left before the response
)

// Row is the record of one client request.
type Row struct {
	Seq           int64  `parquet:"seq,delta"`        // number of the request in its run; gaps are lost or unsampled
	Arrived       int64  `parquet:"arrived_us,delta"` // Unix µs, from a clock that does not step during a run
	Duration      int64  `parquet:"took_us"`          // µs until the response was sent or the client left
	QueueTime     int64  `parquet:"waited_us"`        // part of Duration spent in queues, in µs
	ClientTimeout int64  `parquet:"patience_us"`      // µs after which the client stops waiting
	Client        string `parquet:"client,dict"`      // name that the instance has for the client
	Route         string `parquet:"route,dict"`       // name of the route; "" if the instance has no routes
	Class         string `parquet:"class,dict"`
	Tenant        string `parquet:"tenant,dict"`
	Verdict       string `parquet:"verdict,dict"`
	Endpoint      string `parquet:"endpoint,dict"` // endpoint that served the request; "" if none did
	Status        int32  `parquet:"status"`        // HTTP status of the response; 0 if the client left
	Attempts      int32  `parquet:"attempts"`
	KeyHash       uint64 `parquet:"key_hash"`    // hash of the idempotency key; 0 if there is no key
	ObjectHash    uint64 `parquet:"object_hash"` // hash of the requested object; 0 if the object is unknown
	BytesIn       int64  `parquet:"bytes_in"`    // size of the request's body; -1 if unknown
	BytesOut      int64  `parquet:"bytes_out"`   // size of the response's body
	Retry         bool   `parquet:"retry"`       // whether the client marked the request as a retry
}

// Hasher computes keyed hashes. Instances with the same secret compute the same hashes, so that an idempotency
// key can be followed from one instance to another. Without the secret, a hash cannot be traced back to a
// client.
type Hasher struct{ secret []byte }

// minSecretBytes is the shortest permitted secret, in bytes.
const minSecretBytes = 16

// NewHasher returns a hasher whose secret is the content of a file, without surrounding white space. It fails
// if the file cannot be read or the secret is too short.
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

// NewHasherFromSecret returns a hasher with the given secret, whose length it does not check.
func NewHasherFromSecret(secret []byte) *Hasher { return &Hasher{secret} }

// Hash returns 64 bits of the HMAC-SHA256 (RFC 2104) of a kind and a text, so that the same text has different
// hashes as a key and as an object. The hash is 0 for the empty text only.
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

// Constants with which Sampled mixes the bits of a hash.
const (
	goldenGamma      = 0x9e3779b97f4a7c15 // increment of SplitMix64
	murmurMultiplier = 0xff51afd7ed558ccd // multiplier of MurmurHash3's finalizer
	murmurShift      = 33                 // shift of MurmurHash3's finalizer
)

// Sampled reports whether a request belongs to a sample of the given fraction. The choice depends on the
// idempotency key or, without a key, on the object, so that either all attempts of an operation are in the
// sample or none is. Without key and object it depends on the row number and the arrival.
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
	// The hash is mixed so that the sample is independent of other choices that use the bits of the hash.
	hash ^= hash >> murmurShift
	hash *= murmurMultiplier
	hash ^= hash >> murmurShift
	return float64(hash) < fraction*math.MaxUint64
}
