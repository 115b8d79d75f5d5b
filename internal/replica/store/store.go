// Package store keeps the durable state of a member: the identity, the hard
// state, the log and the last snapshot. Store keeps it in one bbolt file, where
// every Save is one transaction; AppendLog keeps it in an append-only file. In
// both a Save returns after its data is synced.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"google.golang.org/protobuf/proto"

	"sapphirering/internal/wire/wirepb"
)

const (
	fileName    = "replica.db"
	openTimeout = 2 * time.Second
)

// ErrDamaged is returned for a file that this program cannot have written.
// The member must be replaced by a new one with an empty data folder.
var ErrDamaged = errors.New("data file is damaged; replace this member with an empty data folder")

const checksumBytes = 4

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

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
	// Entries replace the log from the first one's index on.
	Entries []*wirepb.Entry
	// Snapshot replaces the entries before KeepFrom, or the whole log if Reset is set.
	Snapshot *wirepb.ReplicaSnapshot
	KeepFrom uint64
	Reset    bool
}

// Loaded is the durable state that was read at start.
type Loaded struct {
	HardState *wirepb.HardState
	Snapshot  *wirepb.ReplicaSnapshot
	Entries   []*wirepb.Entry
}

// Store is an open data folder.
type Store struct {
	db *bolt.DB
}

// Open opens or creates the file in the folder. It returns ErrDamaged for a
// file that was truncated or overwritten.
func Open(folder string) (*Store, error) {
	path := filepath.Join(folder, fileName)
	db, err := openFile(path)
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

// openFile opens the file and checks that it is at least as long as its header
// says: reading past its end would crash the process.
func openFile(path string) (db *bolt.DB, err error) {
	defer recoverDamaged(&err)
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	db, err = bolt.Open(path, 0o600, &bolt.Options{Timeout: openTimeout})
	if errors.Is(err, bolterrors.ErrInvalid) || errors.Is(err, bolterrors.ErrChecksum) || errors.Is(err, bolterrors.ErrVersionMismatch) {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if err != nil {
		return nil, err
	}
	if err := checkSize(db, path); err != nil {
		db.Close()
		return nil, err
	}
	return db, nil
}

func checkSize(db *bolt.DB, path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	return db.View(func(tx *bolt.Tx) error {
		if tx.Size() > info.Size() {
			return fmt.Errorf("%w: file has %d bytes, its header requires %d", ErrDamaged, info.Size(), tx.Size())
		}
		return nil
	})
}

// recoverDamaged turns a panic about a damaged page, or a memory fault while
// reading it, into ErrDamaged. SetPanicOnFault turns faults into panics only on
// the calling goroutine.
func recoverDamaged(err *error) {
	if r := recover(); r != nil {
		*err = fmt.Errorf("%w: %v", ErrDamaged, r)
	}
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
		return getMessage(data, member)
	})
	if err != nil {
		return Identity{}, false, fmt.Errorf("read identity: %w", err)
	}
	return Identity{ClusterID: member.ClusterId, MemberID: member.FromMember}, found, nil
}

// SetIdentity writes the identity of a new folder.
func (s *Store) SetIdentity(id Identity) error {
	hello := &wirepb.Hello{ClusterId: id.ClusterID, FromMember: id.MemberID}
	err := s.db.Update(func(tx *bolt.Tx) error { return putMessage(tx.Bucket(bucketMeta), keyIdentity, hello) })
	if err != nil {
		return fmt.Errorf("write identity: %w", err)
	}
	return nil
}

// Load reads the synced state.
func (s *Store) Load() (l Loaded, err error) {
	defer recoverDamaged(&err)
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	err = s.db.View(func(tx *bolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if data := meta.Get(keyHardState); data != nil {
			l.HardState = new(wirepb.HardState)
			if err := getMessage(data, l.HardState); err != nil {
				return fmt.Errorf("hard state: %w", err)
			}
		}
		if data := meta.Get(keySnapshot); data != nil {
			l.Snapshot = new(wirepb.ReplicaSnapshot)
			if err := getMessage(data, l.Snapshot); err != nil {
				return fmt.Errorf("snapshot: %w", err)
			}
		}
		return tx.Bucket(bucketLog).ForEach(func(k, v []byte) error {
			entry := new(wirepb.Entry)
			if err := getMessage(v, entry); err != nil {
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

// saveEntries removes the log from the first entry's index on, then writes the entries.
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

// putMessage writes a checksum followed by the message.
func putMessage(bucket *bolt.Bucket, key []byte, m proto.Message) error {
	data := make([]byte, checksumBytes, checksumBytes+proto.Size(m))
	data, err := proto.MarshalOptions{}.MarshalAppend(data, m)
	if err != nil {
		return fmt.Errorf("marshal %q: %w", key, err)
	}
	binary.BigEndian.PutUint32(data, crc32.Checksum(data[checksumBytes:], checksumTable))
	return bucket.Put(key, data)
}

// getMessage reads what putMessage wrote.
func getMessage(data []byte, m proto.Message) error {
	if len(data) < checksumBytes {
		return fmt.Errorf("%w: value of %d bytes", ErrDamaged, len(data))
	}
	if binary.BigEndian.Uint32(data) != crc32.Checksum(data[checksumBytes:], checksumTable) {
		return fmt.Errorf("%w: checksum does not match", ErrDamaged)
	}
	if err := proto.Unmarshal(data[checksumBytes:], m); err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return nil
}

func indexKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, index)
}
