package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/fsys"
	"sapphirering/internal/wire/wirepb"
)

const (
	segmentPrefix = "segment-"
	// frameHeaderBytes is the size of a frame's header: its length and its checksum.
	frameHeaderBytes = 8
	// maxFrameBytes bounds one frame, so that a corrupt length cannot exhaust memory.
	maxFrameBytes = 96 << 20
)

// Kinds of records in a frame. Their numbers are stored.
const (
	recordIdentity byte = iota + 1
	recordHardState
	recordSnapshot
	recordEntry
	recordReset
)

// AppendLog keeps the durable state of a member in one append-only file, a
// segment. A Save writes one frame and syncs it once; a frame that a power loss
// left torn was never acknowledged and is dropped at the next start. A snapshot
// begins a new segment, and the old one is removed once the new one is synced.
type AppendLog struct {
	fs            fsys.FS
	folder        string
	file          fsys.File
	segmentNumber int
	size          int64
	buffer        bytes.Buffer
	content       Loaded
	identity      Identity
	// saveErr is the error of a failed Save. No Save is accepted after it: what
	// the file holds after the last synced frame is unknown.
	saveErr error
	// OnDiskFull is called once for each write that has to wait for a full disk.
	OnDiskFull func(error)
	// OnNoDescriptors is called once for each received snapshot that has to wait for a free file
	// descriptor.
	OnNoDescriptors func(error)
	// interrupted is set to end the wait for a full disk or for a descriptor.
	interrupted atomic.Bool
}

// diskFullRetryInterval is the pause between attempts to write to a full disk, or to open a file
// without a free descriptor.
const diskFullRetryInterval = 100 * time.Millisecond

// spareDescriptors are what a new segment needs at the same time: its file, and its folder to sync it.
const spareDescriptors = 2

// ErrSnapshotNotSaved is in the error of a Save whose snapshot could not be written, while the
// former snapshot and the whole log are as they were. Later saves are accepted, and a later
// snapshot can replace this one.
var ErrSnapshotNotSaved = errors.New("snapshot not saved, the log is kept")

// Interrupt makes a Save that waits for a full disk or a descriptor fail, also a later one.
func (a *AppendLog) Interrupt() { a.interrupted.Store(true) }

// retryWhileFull repeats f while the disk is full. Waiting is safe because only
// synced data is acknowledged, and ending the process would not free space.
func (a *AppendLog) retryWhileFull(f func() error) error {
	return a.retryWhile(func(err error) bool { return errors.Is(err, syscall.ENOSPC) }, a.OnDiskFull, f)
}

// retryWhile repeats f while its error passes. It reports the first one.
func (a *AppendLog) retryWhile(passes func(error) bool, report func(error), f func() error) error {
	reported := false
	for {
		err := f()
		if err == nil || !passes(err) || a.interrupted.Load() {
			return err
		}
		if !reported && report != nil {
			report(err)
		}
		reported = true
		time.Sleep(diskFullRetryInterval)
	}
}

// OpenAppend opens or creates the log in the folder. It reads the newest segment
// that holds a whole frame.
func OpenAppend(folder string) (*AppendLog, error) {
	return OpenAppendOn(fsys.WithReserve(fsys.OS, spareDescriptors), folder)
}

// OpenAppendOn is OpenAppend on a file system.
func OpenAppendOn(fs fsys.FS, folder string) (*AppendLog, error) {
	numbers, err := segmentNumbers(fs, folder)
	if err != nil {
		return nil, err
	}
	for _, number := range slices.Backward(numbers) {
		a := &AppendLog{fs: fs, folder: folder, segmentNumber: number}
		found, err := a.readSegment()
		if err != nil {
			return nil, err
		}
		if found {
			if err := a.syncRead(); err != nil {
				return nil, err
			}
			a.removeReplacedSegments(numbers)
			return a, nil
		}
	}
	a := &AppendLog{fs: fs, folder: folder}
	if len(numbers) > 0 {
		// No segment has a whole frame, which only a crash before the first sync leaves.
		a.segmentNumber = numbers[len(numbers)-1]
	}
	if err := a.beginSegment(); err != nil {
		return nil, err
	}
	return a, nil
}

// segmentNumbers returns the numbers of the segment files, ascending.
func segmentNumbers(fs fsys.FS, folder string) ([]int, error) {
	names, err := fs.Names(folder)
	if err != nil {
		return nil, fmt.Errorf("read data folder: %w", err)
	}
	var numbers []int
	for _, name := range names {
		text, ok := strings.CutPrefix(name, segmentPrefix)
		if !ok {
			continue
		}
		number, err := strconv.Atoi(text)
		if err != nil {
			return nil, fmt.Errorf("data folder %s: %q is not a valid segment name", folder, name)
		}
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers, nil
}

func (a *AppendLog) path(number int) string {
	return filepath.Join(a.folder, fmt.Sprintf("%s%08d", segmentPrefix, number))
}

// readSegment loads a segment and truncates a torn tail. It returns false for a
// file without a whole frame.
func (a *AppendLog) readSegment() (bool, error) {
	file, err := a.fs.OpenFile(a.path(a.segmentNumber), os.O_RDWR, 0o600)
	if err != nil {
		return false, fmt.Errorf("open segment: %w", err)
	}
	data, err := io.ReadAll(file)
	if err != nil {
		file.Close()
		return false, fmt.Errorf("read %s: %w", file.Name(), err)
	}
	for {
		frame, ok := nextFrame(data[a.size:])
		if !ok {
			break
		}
		if err := a.applyFrame(frame); err != nil {
			file.Close()
			return false, fmt.Errorf("read %s at %d: %w", file.Name(), a.size, err)
		}
		a.size += int64(frameHeaderBytes + len(frame))
	}
	if a.size == 0 {
		file.Close()
		return false, nil
	}
	a.file = file
	return true, a.truncateTornTail(int64(len(data)))
}

// syncRead makes what was read durable: the former process may have ended between a write and
// its sync, and this one answers by what it has read.
func (a *AppendLog) syncRead() error {
	if err := errors.Join(a.file.Sync(), a.fs.SyncFolder(a.folder)); err != nil {
		return errors.Join(fmt.Errorf("sync %s: %w", a.file.Name(), err), a.file.Close())
	}
	return nil
}

// truncateTornTail removes what follows the last whole frame, so that it can
// never be read as the continuation of a frame written later.
func (a *AppendLog) truncateTornTail(length int64) error {
	if length > a.size {
		if err := a.file.Truncate(a.size); err != nil {
			return fmt.Errorf("truncate %s: %w", a.file.Name(), err)
		}
	}
	if _, err := a.file.Seek(a.size, io.SeekStart); err != nil {
		return fmt.Errorf("seek %s: %w", a.file.Name(), err)
	}
	return nil
}

// nextFrame returns the content of the first frame of data, or false when that
// frame is incomplete or its checksum does not match.
func nextFrame(data []byte) ([]byte, bool) {
	if len(data) < frameHeaderBytes {
		return nil, false
	}
	size := binary.BigEndian.Uint32(data)
	if size == 0 || size > maxFrameBytes || int(size) > len(data)-frameHeaderBytes {
		return nil, false
	}
	frame := data[frameHeaderBytes : frameHeaderBytes+int(size)]
	if crc32.Checksum(frame, checksumTable) != binary.BigEndian.Uint32(data[4:]) {
		return nil, false
	}
	return frame, true
}

// applyFrame applies the records of a frame to the content.
func (a *AppendLog) applyFrame(frame []byte) error {
	for len(frame) > 0 {
		if len(frame) < 5 {
			return fmt.Errorf("%w: record header of %d bytes", ErrDamaged, len(frame))
		}
		kind, size := frame[0], binary.BigEndian.Uint32(frame[1:])
		frame = frame[5:]
		if int(size) > len(frame) {
			return fmt.Errorf("%w: record of %d bytes, %d left", ErrDamaged, size, len(frame))
		}
		if err := a.applyRecord(kind, frame[:size]); err != nil {
			return err
		}
		frame = frame[size:]
	}
	return nil
}

func (a *AppendLog) applyRecord(kind byte, data []byte) error {
	var message proto.Message
	var apply func()
	switch kind {
	case recordIdentity:
		m := new(wirepb.Hello)
		message, apply = m, func() { a.identity = Identity{ClusterID: m.ClusterId, MemberID: m.FromMember} }
	case recordHardState:
		m := new(wirepb.HardState)
		message, apply = m, func() { a.content.HardState = m }
	case recordSnapshot:
		m := new(wirepb.ReplicaSnapshot)
		message, apply = m, func() { a.content.Snapshot = m }
	case recordEntry:
		m := new(wirepb.Entry)
		message, apply = m, func() { a.applyEntries([]*wirepb.Entry{m}) }
	case recordReset:
		a.content.Entries = nil
		return nil
	default:
		return fmt.Errorf("%w: record of kind %d", ErrDamaged, kind)
	}
	if err := proto.Unmarshal(data, message); err != nil {
		return fmt.Errorf("%w: record of kind %d: %w", ErrDamaged, kind, err)
	}
	apply()
	return nil
}

// applyEntries replaces the log from the first entry's index on.
func (a *AppendLog) applyEntries(entries []*wirepb.Entry) {
	first := entries[0].Index
	kept := a.content.Entries
	for len(kept) > 0 && kept[len(kept)-1].Index >= first {
		kept = kept[:len(kept)-1]
	}
	a.content.Entries = append(kept, entries...)
}

// removeReplacedSegments deletes the segments that the current one has replaced.
func (a *AppendLog) removeReplacedSegments(numbers []int) {
	for _, number := range numbers {
		if number != a.segmentNumber {
			// If the removal fails, a later start reads the older file only when the
			// newer one has no whole frame.
			a.fs.RemoveAll(a.path(number))
		}
	}
}

// Close releases the file.
func (a *AppendLog) Close() error { return a.file.Close() }

// Identity returns the stored identity; false when the folder is new.
func (a *AppendLog) Identity() (Identity, bool, error) {
	return a.identity, a.identity != Identity{}, nil
}

// SetIdentity writes the identity of a new folder.
func (a *AppendLog) SetIdentity(id Identity) error {
	a.buffer.Reset()
	if err := a.addRecord(recordIdentity, identityMessage(id)); err != nil {
		return err
	}
	if err := a.writeFrame(); err != nil {
		return fmt.Errorf("write identity: %w", err)
	}
	a.identity = id
	return nil
}

func identityMessage(id Identity) *wirepb.Hello {
	return &wirepb.Hello{ClusterId: id.ClusterID, FromMember: id.MemberID}
}

// Load returns the synced state.
func (a *AppendLog) Load() (Loaded, error) {
	loaded := a.content
	loaded.Entries = slices.Clone(a.content.Entries)
	return loaded, nil
}

// Save writes the batch and syncs it. After an error nothing more can be saved, except for
// ErrSnapshotNotSaved, which only a batch with nothing but a snapshot and KeepFrom returns.
func (a *AppendLog) Save(b Batch) error {
	if a.saveErr != nil {
		return a.saveErr
	}
	a.applyBatch(b)
	if b.Snapshot != nil {
		return a.saveSnapshot(b)
	}
	a.buffer.Reset()
	if err := a.addBatch(b.HardState, nil, b.Entries); err != nil {
		return a.recordFailure(err)
	}
	if a.buffer.Len() == 0 {
		return nil
	}
	if err := a.retryWhileFull(a.writeFrame); err != nil {
		return a.recordFailure(err)
	}
	return nil
}

// saveSnapshot begins a segment with the batch. Only a snapshot of what the current segment holds
// anyway can be given up; a received one waits for a descriptor.
func (a *AppendLog) saveSnapshot(b Batch) error {
	compacts := !b.Reset && b.HardState == nil && len(b.Entries) == 0
	begin := a.beginSegment
	if !compacts {
		begin = func() error { return a.retryWhile(fsys.OutOfDescriptors, a.OnNoDescriptors, a.beginSegment) }
	}
	err := a.retryWhileFull(begin)
	if err == nil {
		return nil
	}
	if compacts && !errors.Is(err, errSegmentLeft) && !a.interrupted.Load() {
		return fmt.Errorf("%w: %w", ErrSnapshotNotSaved, err)
	}
	return a.recordFailure(err)
}

func (a *AppendLog) recordFailure(err error) error {
	a.saveErr = fmt.Errorf("save: %w", err)
	return a.saveErr
}

// applyBatch updates the in-memory content with the batch.
func (a *AppendLog) applyBatch(b Batch) {
	if b.Snapshot != nil {
		a.content.Snapshot = b.Snapshot
		if b.Reset {
			a.content.Entries = nil
		}
		kept := a.content.Entries
		for len(kept) > 0 && kept[0].Index < b.KeepFrom {
			kept = kept[1:]
		}
		a.content.Entries = slices.Clone(kept)
	}
	if len(b.Entries) > 0 {
		a.applyEntries(b.Entries)
	}
	if b.HardState != nil {
		a.content.HardState = b.HardState
	}
}

// beginSegment writes the whole content as the first frame of a new file. The
// old file is removed only after the new one and its folder are synced.
func (a *AppendLog) beginSegment() error {
	a.buffer.Reset()
	// The identity record is written even if empty, so that the frame is not empty.
	if err := a.addRecord(recordIdentity, identityMessage(a.identity)); err != nil {
		return err
	}
	if err := a.addBatch(a.content.HardState, a.content.Snapshot, a.content.Entries); err != nil {
		return err
	}
	file, err := a.fs.OpenFile(a.path(a.segmentNumber+1), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("create segment: %w", err)
	}
	old, oldSize := a.file, a.size
	a.file, a.size = file, 0
	err = a.writeFrame()
	if err == nil {
		err = a.fs.SyncFolder(a.folder)
	}
	if err != nil {
		// The old segment still holds everything that was acknowledged.
		a.file, a.size = old, oldSize
		return errors.Join(err, a.discardSegment(file))
	}
	a.segmentNumber++
	if old != nil {
		old.Close()
		a.fs.RemoveAll(old.Name())
	}
	return nil
}

// errSegmentLeft is returned for a segment that may be read at the next start although it could not
// be completed: what is appended to the current one would be lost then.
var errSegmentLeft = errors.New("an incomplete segment could not be emptied")

// discardSegment empties a segment that could not be completed, and removes it. The removal of its name
// may not survive a loss of power, so that its content must be durably gone.
func (a *AppendLog) discardSegment(file fsys.File) error {
	if err := errors.Join(file.Truncate(0), file.Sync()); err != nil {
		return errors.Join(fmt.Errorf("%w: %w", errSegmentLeft, err), file.Close(), a.fs.RemoveAll(file.Name()))
	}
	return errors.Join(file.Close(), a.fs.RemoveAll(file.Name()))
}

// Erase removes everything in a data folder, but not the folder, which may be a mount point. A
// loss of power meanwhile leaves the folder as it was or without its log, never an earlier
// state of the log, and afterwards nothing comes back.
func Erase(fs fsys.FS, folder string) error {
	names, err := fs.Names(folder)
	if err != nil {
		return fmt.Errorf("read data folder: %w", err)
	}
	slices.Sort(names)
	for i, name := range names {
		if i == len(names)-1 {
			// The newest segment is removed once no older one can be read in its place.
			if err := fs.SyncFolder(folder); err != nil {
				return fmt.Errorf("empty data folder: %w", err)
			}
		}
		if err := fs.RemoveAll(filepath.Join(folder, name)); err != nil {
			return fmt.Errorf("empty data folder: %w", err)
		}
	}
	if err := fs.SyncFolder(folder); err != nil {
		return fmt.Errorf("empty data folder: %w", err)
	}
	return nil
}

func (a *AppendLog) addBatch(hard *wirepb.HardState, snapshot *wirepb.ReplicaSnapshot, entries []*wirepb.Entry) error {
	if hard != nil {
		if err := a.addRecord(recordHardState, hard); err != nil {
			return err
		}
	}
	if snapshot != nil {
		if err := a.addRecord(recordSnapshot, snapshot); err != nil {
			return err
		}
	}
	for _, entry := range entries {
		if err := a.addRecord(recordEntry, entry); err != nil {
			return err
		}
	}
	return nil
}

func (a *AppendLog) addRecord(kind byte, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return fmt.Errorf("marshal record of kind %d: %w", kind, err)
	}
	var header [5]byte
	header[0] = kind
	binary.BigEndian.PutUint32(header[1:], uint32(len(data)))
	a.buffer.Write(header[:])
	a.buffer.Write(data)
	return nil
}

// truncateFailedWrite removes what a failed write left after the last whole frame.
func (a *AppendLog) truncateFailedWrite() error {
	if err := a.file.Truncate(a.size); err != nil {
		return fmt.Errorf("truncate %s: %w", a.file.Name(), err)
	}
	if _, err := a.file.Seek(a.size, io.SeekStart); err != nil {
		return fmt.Errorf("seek %s: %w", a.file.Name(), err)
	}
	return nil
}

// writeFrame appends the buffer as one frame and syncs it.
func (a *AppendLog) writeFrame() error {
	content := a.buffer.Bytes()
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(content))
	binary.BigEndian.PutUint32(frame, uint32(len(content)))
	binary.BigEndian.PutUint32(frame[4:], crc32.Checksum(content, checksumTable))
	frame = append(frame, content...)
	if _, err := a.file.Write(frame); err != nil {
		err = fmt.Errorf("write %s: %w", a.file.Name(), err)
		return errors.Join(err, a.truncateFailedWrite())
	}
	if err := a.file.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", a.file.Name(), err)
	}
	a.size += int64(len(frame))
	return nil
}
