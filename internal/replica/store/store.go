// Package store keeps the durable state of a member in one bbolt file: the
// identity, the hard state, the log and the last snapshot. Every Save is one
// transaction and returns after it is synced.
package store

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
	"time"

	bolt "go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"sapphirering/internal/wire/wirepb"
)

const (
	fileName    = "replica.db"
	openTimeout = 2 * time.Second
)

var (
	bucketLog  = []byte("log")
	bucketMeta = []byte("meta")

	keyIdentity  = []byte("identity")
	keyHardState = []byte("hard_state")
	keySnapshot  = []byte("snapshot")
)

// Identity binds a data folder to a cluster and a member.
type Identity struct {
	ClusterID string
	MemberID  string
}

// Batch is what one Save writes.
type Batch struct {
	HardState *wirepb.HardState
	// Entries replace everything in the log from the first one's index on.
	Entries []*wirepb.Entry
	// Snapshot replaces the log before KeepFrom; Reset drops the whole log.
	Snapshot *wirepb.ReplicaSnapshot
	KeepFrom uint64
	Reset    bool
}

// Loaded is what the file holds at start.
type Loaded struct {
	HardState *wirepb.HardState
	Snapshot  *wirepb.ReplicaSnapshot
	Entries   []*wirepb.Entry
}

// Store is an open data folder.
type Store struct {
	db *bolt.DB
}

// Open opens or creates the file in the folder.
func Open(folder string) (*Store, error) {
	path := filepath.Join(folder, fileName)
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: openTimeout})
	if err != nil {
		return nil, fmt.Errorf("open %s: %w", path, err)
	}
	err = db.Update(func(tx *bolt.Tx) error {
		if _, err := tx.CreateBucketIfNotExists(bucketLog); err != nil {
			return err
		}
		_, err := tx.CreateBucketIfNotExists(bucketMeta)
		return err
	})
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("create buckets in %s: %w", path, err)
	}
	return &Store{db: db}, nil
}

// Close releases the file.
func (s *Store) Close() error { return s.db.Close() }

// Identity returns the stored identity; false when the folder is new.
func (s *Store) Identity() (Identity, bool, error) {
	member := new(wirepb.Hello)
	found := false
	err := s.db.View(func(tx *bolt.Tx) error {
		data := tx.Bucket(bucketMeta).Get(keyIdentity)
		if data == nil {
			return nil
		}
		found = true
		return proto.Unmarshal(data, member)
	})
	if err != nil {
		return Identity{}, false, fmt.Errorf("read identity: %w", err)
	}
	return Identity{ClusterID: member.ClusterId, MemberID: member.FromMember}, found, nil
}

// SetIdentity writes the identity of a new folder.
func (s *Store) SetIdentity(id Identity) error {
	data, err := proto.Marshal(&wirepb.Hello{ClusterId: id.ClusterID, FromMember: id.MemberID})
	if err != nil {
		return fmt.Errorf("marshal identity: %w", err)
	}
	err = s.db.Update(func(tx *bolt.Tx) error { return tx.Bucket(bucketMeta).Put(keyIdentity, data) })
	if err != nil {
		return fmt.Errorf("write identity: %w", err)
	}
	return nil
}

// Load reads everything that was synced.
func (s *Store) Load() (Loaded, error) {
	var l Loaded
	err := s.db.View(func(tx *bolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if data := meta.Get(keyHardState); data != nil {
			l.HardState = new(wirepb.HardState)
			if err := proto.Unmarshal(data, l.HardState); err != nil {
				return fmt.Errorf("hard state: %w", err)
			}
		}
		if data := meta.Get(keySnapshot); data != nil {
			l.Snapshot = new(wirepb.ReplicaSnapshot)
			if err := proto.Unmarshal(data, l.Snapshot); err != nil {
				return fmt.Errorf("snapshot: %w", err)
			}
		}
		return tx.Bucket(bucketLog).ForEach(func(k, v []byte) error {
			entry := new(wirepb.Entry)
			if err := proto.Unmarshal(v, entry); err != nil {
				return fmt.Errorf("entry %d: %w", binary.BigEndian.Uint64(k), err)
			}
			l.Entries = append(l.Entries, entry)
			return nil
		})
	})
	if err != nil {
		return Loaded{}, fmt.Errorf("load: %w", err)
	}
	return l, nil
}

// Save writes the batch and syncs it.
func (s *Store) Save(b Batch) error {
	err := s.db.Update(func(tx *bolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		log := tx.Bucket(bucketLog)
		if b.Snapshot != nil {
			if err := saveSnapshot(meta, log, b); err != nil {
				return err
			}
		}
		if len(b.Entries) > 0 {
			if err := saveEntries(log, b.Entries); err != nil {
				return err
			}
		}
		if b.HardState != nil {
			return putMessage(meta, keyHardState, b.HardState)
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("save: %w", err)
	}
	return nil
}

func saveSnapshot(meta, log *bolt.Bucket, b Batch) error {
	if err := putMessage(meta, keySnapshot, b.Snapshot); err != nil {
		return err
	}
	cursor := log.Cursor()
	for k, _ := cursor.First(); k != nil; k, _ = cursor.First() {
		if !b.Reset && binary.BigEndian.Uint64(k) >= b.KeepFrom {
			return nil
		}
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// saveEntries drops what the log held from the first index on, then writes.
func saveEntries(log *bolt.Bucket, entries []*wirepb.Entry) error {
	first := indexKey(entries[0].Index)
	cursor := log.Cursor()
	for k, _ := cursor.Seek(first); k != nil; k, _ = cursor.Seek(first) {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	for _, entry := range entries {
		if err := putMessage(log, indexKey(entry.Index), entry); err != nil {
			return err
		}
	}
	return nil
}

func putMessage(bucket *bolt.Bucket, key []byte, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return fmt.Errorf("marshal %q: %w", key, err)
	}
	return bucket.Put(key, data)
}

func indexKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, index)
}
