package consensus

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// BoltStore is a LogStore in a file of go.etcd.io/bbolt, whose transactions are atomic and durable. It is safe for
// concurrent use. The caller of OpenBoltStore must close it.
//
// The file has the form of earlier builds: a bucket "meta" with the keys "hard" and "snapshot", and a bucket
// "entries" with each entry under its index (8 bytes, big endian); all values are in raft's protocol buffers.
type BoltStore struct{ db *bbolt.DB }

// ErrCorrupt is wrapped by errors of a file whose content is invalid.
var ErrCorrupt = errors.New("corrupt raft log file")

var (
	bucketMeta    = []byte("meta")
	bucketEntries = []byte("entries")
	keyHardState  = []byte("hard")
	keySnapshot   = []byte("snapshot")
)

// openTimeout is the time for which OpenBoltStore waits for another process that has the file open.
const openTimeout = 2 * time.Second

// fileMode lets only the process's user read and write the file.
const fileMode = 0o600

// OpenBoltStore opens a file, and creates it if it does not exist. Only one process may have it open.
func OpenBoltStore(path string) (*BoltStore, error) {
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: openTimeout})
	if err != nil {
		return nil, fmt.Errorf("consensus: open %s: %w", path, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{bucketMeta, bucketEntries} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		_ = db.Close() // the earlier error is the cause
		return nil, fmt.Errorf("consensus: create the buckets of %s: %w", path, err)
	}
	return &BoltStore{db: db}, nil
}

// Close closes the file.
func (s *BoltStore) Close() error { return s.db.Close() }

// Load returns the stored log. Its error wraps ErrCorrupt if the content is invalid.
func (s *BoltStore) Load() (stored StoredLog, empty bool, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		encodedSnapshot := meta.Get(keySnapshot)
		if encodedSnapshot == nil {
			empty = true
			return nil
		}
		stored.Snapshot = &raftpb.Snapshot{}
		if proto.Unmarshal(encodedSnapshot, stored.Snapshot) != nil {
			return fmt.Errorf("%w: its snapshot", ErrCorrupt)
		}
		if encodedHardState := meta.Get(keyHardState); encodedHardState != nil {
			stored.HardState = &raftpb.HardState{}
			if proto.Unmarshal(encodedHardState, stored.HardState) != nil {
				return fmt.Errorf("%w: its hard state", ErrCorrupt)
			}
		}
		var err error
		stored.Entries, err = loadEntries(tx.Bucket(bucketEntries), stored.Snapshot.GetMetadata().GetIndex())
		return err
	})
	return stored, empty, err
}

// loadEntries returns the entries after an index, or an error that wraps ErrCorrupt if one is invalid or missing.
func loadEntries(bucket *bbolt.Bucket, snapshotIndex uint64) ([]*raftpb.Entry, error) {
	var entries []*raftpb.Entry
	lastIndex := snapshotIndex
	err := bucket.ForEach(func(key, value []byte) error {
		entry := &raftpb.Entry{}
		if proto.Unmarshal(value, entry) != nil || !bytes.Equal(key, entryKey(entry.GetIndex())) {
			return fmt.Errorf("%w: an entry", ErrCorrupt)
		}
		if entry.GetIndex() <= lastIndex {
			return nil // it is in the snapshot
		}
		lastIndex++
		if entry.GetIndex() != lastIndex {
			return fmt.Errorf("%w: entry %d is missing", ErrCorrupt, lastIndex)
		}
		entries = append(entries, entry)
		return nil
	})
	return entries, err
}

// Save stores its arguments in one transaction.
func (s *BoltStore) Save(hardState *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error {
	snapshotIndex := snapshot.GetMetadata().GetIndex()
	if hardState == nil && len(entries) == 0 && snapshotIndex == 0 {
		return nil
	}
	err := s.db.Update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if snapshotIndex > 0 {
			if err := putProtoMessage(meta, keySnapshot, snapshot); err != nil {
				return err
			}
			if err := deleteEntries(tx.Bucket(bucketEntries), 0, snapshotIndex+1); err != nil {
				return err
			}
		}
		if hardState != nil {
			if err := putProtoMessage(meta, keyHardState, hardState); err != nil {
				return err
			}
		}
		return replaceEntries(tx.Bucket(bucketEntries), entries)
	})
	if err != nil {
		return fmt.Errorf("consensus: save the raft log: %w", err)
	}
	return nil
}

// replaceEntries stores entries in place of all stored ones from the first one's index on, which are an earlier
// leader's.
func replaceEntries(bucket *bbolt.Bucket, entries []*raftpb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := deleteEntries(bucket, entries[0].GetIndex(), 0); err != nil {
		return err
	}
	for _, entry := range entries {
		if err := putProtoMessage(bucket, entryKey(entry.GetIndex()), entry); err != nil {
			return err
		}
	}
	return nil
}

// deleteEntries deletes the entries from an index on and before another one; 0 is no bound.
func deleteEntries(bucket *bbolt.Bucket, from, before uint64) error {
	var keys [][]byte
	cursor := bucket.Cursor()
	for key, _ := cursor.Seek(entryKey(from)); key != nil; key, _ = cursor.Next() {
		if before > 0 && binary.BigEndian.Uint64(key) >= before {
			break
		}
		keys = append(keys, append([]byte(nil), key...))
	}
	// A bucket must not be changed while a cursor is in use.
	for _, key := range keys {
		if err := bucket.Delete(key); err != nil {
			return err
		}
	}
	return nil
}

// entryKey returns the key of the entry at an index.
func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// putProtoMessage stores a message of raft under a key.
func putProtoMessage(bucket *bbolt.Bucket, key []byte, m proto.Message) error {
	encoded, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return bucket.Put(key, encoded)
}
