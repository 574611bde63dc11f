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
// The file format is the same as in earlier builds: a bucket "meta" with the keys "hard" and "snapshot", and a
// bucket "entries" in which the key of each entry is its index (8 bytes, big endian). All values are encoded as
// raft's protocol buffers.
type BoltStore struct{ db *bbolt.DB }

// ErrCorrupt is wrapped by the errors of Load for a file with invalid content.
var ErrCorrupt = errors.New("corrupt raft log file")

var (
	// Names of the buckets and keys in the file. They must not change, since stored files contain them.
	bucketMeta    = []byte("meta")
	bucketEntries = []byte("entries")
	keyHardState  = []byte("hard")
	keySnapshot   = []byte("snapshot")
)

// openTimeout is the time for which OpenBoltStore waits while another process has the file open.
const openTimeout = 2 * time.Second

// fileMode allows only the user of the process to read and write the file.
const fileMode = 0o600

// OpenBoltStore opens a log file, and creates it if it does not exist. Only one process at a time can have the file
// open.
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
		_ = db.Close() // the returned error is the cause, so a failure to close is ignored
		return nil, fmt.Errorf("consensus: create the buckets of %s: %w", path, err)
	}
	return &BoltStore{db: db}, nil
}

// Close closes the log file.
func (s *BoltStore) Close() error { return s.db.Close() }

// Load implements LogStore. Its error wraps ErrCorrupt if the content of the file is invalid.
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
			return fmt.Errorf("%w: invalid snapshot", ErrCorrupt)
		}
		if encodedHardState := meta.Get(keyHardState); encodedHardState != nil {
			stored.HardState = &raftpb.HardState{}
			if proto.Unmarshal(encodedHardState, stored.HardState) != nil {
				return fmt.Errorf("%w: invalid hard state", ErrCorrupt)
			}
		}
		var err error
		stored.Entries, err = loadEntries(tx.Bucket(bucketEntries), stored.Snapshot.GetMetadata().GetIndex())
		return err
	})
	return stored, empty, err
}

// loadEntries returns the stored entries after the index of the snapshot. Its error wraps ErrCorrupt if an entry is
// invalid or missing.
func loadEntries(bucket *bbolt.Bucket, snapshotIndex uint64) ([]*raftpb.Entry, error) {
	var entries []*raftpb.Entry
	lastIndex := snapshotIndex
	err := bucket.ForEach(func(key, value []byte) error {
		entry := &raftpb.Entry{}
		if proto.Unmarshal(value, entry) != nil || !bytes.Equal(key, entryKey(entry.GetIndex())) {
			return fmt.Errorf("%w: invalid entry", ErrCorrupt)
		}
		if entry.GetIndex() <= lastIndex {
			return nil // the snapshot contains this entry
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

// Save implements LogStore. It stores its arguments in one transaction.
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
			if err := deleteEntryRange(tx.Bucket(bucketEntries), 0, snapshotIndex+1); err != nil {
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

// replaceEntries stores entries in place of all stored entries from the index of the first new entry on. Stored
// entries at these indexes were proposed by an earlier leader and not committed.
func replaceEntries(bucket *bbolt.Bucket, entries []*raftpb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := deleteEntryRange(bucket, entries[0].GetIndex(), 0); err != nil {
		return err
	}
	for _, entry := range entries {
		if err := putProtoMessage(bucket, entryKey(entry.GetIndex()), entry); err != nil {
			return err
		}
	}
	return nil
}

// deleteEntryRange deletes the entries with firstIndex <= index < endIndex. There is no upper bound if endIndex is
// 0.
func deleteEntryRange(bucket *bbolt.Bucket, firstIndex, endIndex uint64) error {
	var keys [][]byte
	cursor := bucket.Cursor()
	for key, _ := cursor.Seek(entryKey(firstIndex)); key != nil; key, _ = cursor.Next() {
		if endIndex > 0 && binary.BigEndian.Uint64(key) >= endIndex {
			break
		}
		keys = append(keys, append([]byte(nil), key...))
	}
	// A bucket must not be modified while a cursor iterates over it.
	for _, key := range keys {
		if err := bucket.Delete(key); err != nil {
			return err
		}
	}
	return nil
}

// entryKey returns the key of the entry at an index in bucketEntries.
func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// putProtoMessage stores the encoded form of a protocol buffer message under a key.
func putProtoMessage(bucket *bbolt.Bucket, key []byte, m proto.Message) error {
	encoded, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return bucket.Put(key, encoded)
}
