package experiment

import (
	"bytes"
	"compress/gzip"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"dunlinsail/internal/simulation/measure"
)

// Store saves the results of runs in a file, so that an interrupted experiment continues without repeating runs.
// The key of a result covers everything that the run depends on, including the build (see Job.storeKey). Each
// result is written in its own transaction, so that a crash leaves no partial result.
type Store struct{ db *bbolt.DB }

// runsBucket is the name of the bucket that holds all results.
var runsBucket = []byte("runs 1")

// OpenStore opens the store in the file path, or creates it. If another program has the file open, it waits up to one
// second and then returns an error.
func OpenStore(path string) (*Store, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("%s: another program has it open", path)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists(runsBucket)
		return err
	})
	if err != nil {
		_ = db.Close() // nothing was written, so that the error of Close does not matter
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &Store{db}, nil
}

// Close closes the store's file.
func (s *Store) Close() error { return s.db.Close() }

// Get returns the result stored under key, or nil if there is none.
func (s *Store) Get(key []byte) (r *measure.Result, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		compressed := tx.Bucket(runsBucket).Get(key)
		if compressed == nil {
			return nil
		}
		reader, err := gzip.NewReader(bytes.NewReader(compressed))
		if err != nil {
			return err
		}
		text, err := io.ReadAll(reader)
		if err != nil {
			return err
		}
		r = &measure.Result{}
		return json.Unmarshal(text, r)
	})
	if err != nil {
		return nil, fmt.Errorf("stored run %x: %w", key, err)
	}
	return r, nil
}

// Put stores the result of a run under key.
func (s *Store) Put(key []byte, r *measure.Result) error {
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if _, err := writer.Write(text); err != nil {
		return err
	}
	if err := writer.Close(); err != nil {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(runsBucket).Put(key, compressed.Bytes()) })
}

// Len returns the number of stored results.
func (s *Store) Len() (n int, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		n = tx.Bucket(runsBucket).Stats().KeyN
		return nil
	})
	return n, err
}

// storeKey returns the key under which a Store holds the result of the job, run with the given build.
func (j *Job) storeKey(build string) ([]byte, error) {
	text, err := json.Marshal(j)
	if err != nil {
		return nil, err
	}
	hash := xxhash.New()
	var key []byte
	for _, prefix := range []string{"a", "b"} { // 128 bits: 64 might collide among very many runs
		hash.Reset()
		_, _ = hash.WriteString(prefix + build)
		hash.Write(text)
		key = hash.Sum(key)
	}
	return key, nil
}

// BuildID returns the digest of a program's file, which identifies its build; "" is the running program.
func BuildID(program string) (string, error) {
	if program == "" {
		executable, err := os.Executable()
		if err != nil {
			return "", err
		}
		program = executable
	}
	f, err := os.Open(program)
	if err != nil {
		return "", err
	}
	defer f.Close()
	hash := xxhash.New()
	if _, err := io.Copy(hash, f); err != nil {
		return "", fmt.Errorf("%s: %w", program, err)
	}
	return hex.EncodeToString(hash.Sum(nil)), nil
}
