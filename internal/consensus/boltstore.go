package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// File is a Disk: a file of go.etcd.io/bbolt, which keeps a change whole or not at all and has written it when it says so.
type BoltStore struct{ db *bbolt.DB }

// ErrSpoilt is wrapped by errors of a file whose content makes no sense.
var ErrCorrupt = errors.New("the file is spoilt")

var (
	bucketMeta    = []byte("meta")
	bucketEntries = []byte("entries")
	keyHardState  = []byte("hard")
	keySnapshot   = []byte("snapshot")
)

// openFor bounds how long another process that has the file open is waited for.
const openTimeout = 2 * time.Second

// OpenFile opens a file, or makes it. One process has it at a time.
func OpenBoltStore(path string) (*BoltStore, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
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
		db.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &BoltStore{db}, nil
}

// Close closes the file.
func (f *BoltStore) Close() error { return f.db.Close() }

// Load returns what was kept.
func (f *BoltStore) Load() (k StoredLog, blank bool, err error) {
	err = f.db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if text := meta.Get(keySnapshot); text == nil {
			blank = true
			return nil
		} else if k.Snapshot = (&raftpb.Snapshot{}); proto.Unmarshal(text, k.Snapshot) != nil {
			return fmt.Errorf("%w: its snapshot", ErrCorrupt)
		}
		if text := meta.Get(keyHardState); text != nil {
			if k.HardState = (&raftpb.HardState{}); proto.Unmarshal(text, k.HardState) != nil {
				return fmt.Errorf("%w: its vote", ErrCorrupt)
			}
		}
		last := k.Snapshot.GetMetadata().GetIndex()
		return tx.Bucket(bucketEntries).ForEach(func(key, text []byte) error {
			e := &raftpb.Entry{}
			if proto.Unmarshal(text, e) != nil || len(key) != 8 || binary.BigEndian.Uint64(key) != e.GetIndex() {
				return fmt.Errorf("%w: an entry", ErrCorrupt)
			}
			if e.GetIndex() <= last {
				return nil // in the snapshot
			}
			if last++; e.GetIndex() != last {
				return fmt.Errorf("%w: entry %d is missing", ErrCorrupt, last)
			}
			k.Entries = append(k.Entries, e)
			return nil
		})
	})
	return k, blank, err
}

// Save keeps what is new.
func (f *BoltStore) Save(hard *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error {
	if hard == nil && len(entries) == 0 && snapshot.GetMetadata().GetIndex() == 0 {
		return nil
	}
	return f.db.Update(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketEntries)
		put := func(b *bbolt.Bucket, key []byte, m proto.Message) error {
			text, err := proto.Marshal(m)
			if err != nil {
				return err
			}
			return b.Put(key, text)
		}
		if snapshot.GetMetadata().GetIndex() > 0 {
			if err := put(meta, keySnapshot, snapshot); err != nil {
				return err
			}
			if err := deleteEntries(log, 0, snapshot.GetMetadata().GetIndex()+1); err != nil {
				return err
			}
		}
		if hard != nil {
			if err := put(meta, keyHardState, hard); err != nil {
				return err
			}
		}
		if len(entries) > 0 {
			// What another leader has put there is over.
			if err := deleteEntries(log, entries[0].GetIndex(), 0); err != nil {
				return err
			}
		}
		for _, e := range entries {
			if err := put(log, binary.BigEndian.AppendUint64(nil, e.GetIndex()), e); err != nil {
				return err
			}
		}
		return nil
	})
}

// forget forgets entries from an index on and before another; 0 is no bound.
func deleteEntries(log *bbolt.Bucket, from, before uint64) error {
	var keys [][]byte
	for c, key := log.Cursor(), []byte(nil); ; {
		if key == nil {
			key, _ = c.Seek(binary.BigEndian.AppendUint64(nil, from))
		} else {
			key, _ = c.Next()
		}
		if key == nil || before > 0 && binary.BigEndian.Uint64(key) >= before {
			break
		}
		keys = append(keys, append([]byte(nil), key...))
	}
	for _, key := range keys {
		if err := log.Delete(key); err != nil {
			return err
		}
	}
	return nil
}
