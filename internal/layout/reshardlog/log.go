// Package reshardlog stores a coordinator's records on disk, so that after a kill
// at any step its jobs continue or are undone. The log is a bbolt file: a commit
// is atomic, and on disk when Append returns.
//
// File format, version 1. Bucket "meta" holds:
//   - "version": one byte, 1
//   - "base": the layout and fleet that the records begin at, as
//     internal/layout/layoutfile writes them
//   - "at": two big-endian 8-byte numbers, the number of the last record before the
//     base and that of the last job assigned
//   - "term": 8 bytes, big-endian, the number of times that the log was opened
//   - "id": 8 random bytes
//
// Bucket "records" holds the records. The key is the record's number, 8 bytes,
// big-endian; the value is JSON. Every value but "version" ends in 4 bytes of
// CRC-32C (RFC 3720, appendix B.4) over key and value, because bbolt checks its own
// pages but not the values in them.
package reshardlog

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/bbolt"

	"eiderwinch/internal/durable"
	"eiderwinch/internal/format/sealed"
	"eiderwinch/internal/layout"
	"eiderwinch/internal/layout/layoutfile"
	"eiderwinch/internal/layout/reshard"
)

const (
	version    = 1
	lockWait   = 2 * time.Second // wait for the file lock: two coordinators must not write one log
	maxRecords = 4096            // limit of records after the base; a change has at most six, so this is about 700 changes
)

var (
	bucketMeta    = []byte("meta")
	bucketRecords = []byte("records")
	keyVersion    = []byte("version")
	keyBase       = []byte("base")
	keyPosition   = []byte("at")
	keyTerm       = []byte("term")
	keyID         = []byte("id")
)

// Errors of a log file.
var (
	ErrDamaged = sealed.ErrDamaged
	ErrVersion = errors.New("unsupported log version")
	ErrEmpty   = errors.New("log holds no layout yet")
	ErrFull    = fmt.Errorf("log is full and cannot be compacted while changes are under way (%w)", durable.ErrPermanent)
)

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	db               *bbolt.DB
	id               string
	term             uint64
	lastSeq          uint64
	recordsSinceBase int // number of records after the base
}

// Open opens or creates a log. Load of a new one returns ErrEmpty until SetBase is
// called.
func Open(path string) (*Log, error) {
	db, err := durable.OpenBolt(path, &bbolt.Options{Timeout: lockWait})
	if err != nil {
		return nil, fmt.Errorf("change log %s: %w", path, err)
	}
	l := &Log{db: db}
	if err := db.Update(l.initialize); err != nil {
		return nil, errors.Join(fmt.Errorf("change log %s: %w", path, err), db.Close())
	}
	return l, nil
}

// initialize creates the buckets, checks the version of an existing file, and
// increments the term.
func (l *Log) initialize(tx *bbolt.Tx) error {
	meta, err := tx.CreateBucketIfNotExists(bucketMeta)
	if err != nil {
		return err
	}
	if _, err := tx.CreateBucketIfNotExists(bucketRecords); err != nil {
		return err
	}
	v := meta.Get(keyVersion)
	switch {
	case v == nil:
		if err := meta.Put(keyVersion, []byte{version}); err != nil {
			return err
		}
	case len(v) != 1 || v[0] != version:
		return fmt.Errorf("%w: found %v, want %d", ErrVersion, v, version)
	}
	id := make([]byte, 8)
	if v := meta.Get(keyID); v == nil {
		_, _ = rand.Read(id) // never fails
		if err := meta.Put(keyID, sealed.Seal(keyID, id)); err != nil {
			return err
		}
	} else if id, err = sealed.Open(keyID, v); err != nil {
		return err
	}
	l.id = hex.EncodeToString(id)
	if v := meta.Get(keyTerm); v != nil {
		text, err := sealed.Open(keyTerm, v)
		if err != nil || len(text) != 8 {
			return fmt.Errorf("%w: malformed term", ErrDamaged)
		}
		l.term = binary.BigEndian.Uint64(text)
	}
	l.term++
	return meta.Put(keyTerm, sealed.Seal(keyTerm, binary.BigEndian.AppendUint64(nil, l.term)))
}

// ID returns a random identifier of the log. Logs with other identifiers may have
// begun at other layouts.
func (l *Log) ID() string { return l.id }

// Term returns the number of times that the log was opened, starting from 1.
// Messages to other processes carry it: those of a later term are newer.
func (l *Log) Term() uint64 { return l.term }

// Close closes the file.
func (l *Log) Close() error { return l.db.Close() }

// SetBase replaces the contents of the log by a base. It initializes a new log, and
// compacts an existing one; it must not be called while a job is open.
func (l *Log) SetBase(b reshard.Base, f layout.Fleet) error {
	var text bytes.Buffer
	if err := layoutfile.Write(&text, b.Layout, f); err != nil {
		return err
	}
	position := binary.BigEndian.AppendUint64(nil, b.Seq)
	position = binary.BigEndian.AppendUint64(position, uint64(b.LastJob))
	err := l.db.Update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if err := errors.Join(meta.Put(keyBase, sealed.Seal(keyBase, text.Bytes())), meta.Put(keyPosition, sealed.Seal(keyPosition, position))); err != nil {
			return err
		}
		if err := tx.DeleteBucket(bucketRecords); err != nil {
			return err
		}
		_, err := tx.CreateBucket(bucketRecords)
		return err
	})
	if err != nil {
		return fmt.Errorf("change log: %w", err)
	}
	l.lastSeq, l.recordsSinceBase = b.Seq, 0
	return nil
}

// Append writes records in one commit. If it returns nil all of them are on disk,
// otherwise none is.
func (l *Log) Append(records []reshard.Record) error {
	if len(records) == 0 {
		return nil
	}
	if l.recordsSinceBase+len(records) > maxRecords {
		return fmt.Errorf("%w: it holds %d records", ErrFull, l.recordsSinceBase)
	}
	next := l.lastSeq
	err := l.db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(bucketRecords)
		for _, r := range records {
			if next++; r.Seq != next {
				return fmt.Errorf("found record %d after record %d, want consecutive numbers (%w)", r.Seq, next-1, durable.ErrPermanent)
			}
			text, err := json.Marshal(r)
			if err != nil {
				return err
			}
			key := binary.BigEndian.AppendUint64(nil, r.Seq)
			if err := bucket.Put(key, sealed.Seal(key, text)); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("change log: %w", err)
	}
	l.lastSeq, l.recordsSinceBase = next, l.recordsSinceBase+len(records)
	return nil
}

// NeedsCompaction reports whether the log should be compacted as soon as no job is
// open.
func (l *Log) NeedsCompaction() bool { return l.recordsSinceBase > maxRecords/2 }

// Load reads the whole log. If the log is damaged, it returns only an error.
func (l *Log) Load() (b reshard.Base, f layout.Fleet, records []reshard.Record, err error) {
	err = l.db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if meta.Get(keyBase) == nil {
			return ErrEmpty
		}
		text, err := sealed.Open(keyBase, meta.Get(keyBase))
		if err != nil {
			return err
		}
		position, err := sealed.Open(keyPosition, meta.Get(keyPosition))
		if err != nil || len(position) != 16 {
			return fmt.Errorf("%w: malformed position of the base", ErrDamaged)
		}
		b.Seq, b.LastJob = binary.BigEndian.Uint64(position), reshard.JobID(binary.BigEndian.Uint64(position[8:]))
		if b.Layout, f, err = layoutfile.Read("base", bytes.NewReader(text)); err != nil {
			return fmt.Errorf("%w: %w", ErrDamaged, err)
		}
		next := b.Seq
		return tx.Bucket(bucketRecords).ForEach(func(key, value []byte) error {
			next++
			text, err := sealed.Open(key, value)
			if err != nil {
				return err
			}
			var r reshard.Record
			if err := json.Unmarshal(text, &r); err != nil {
				return fmt.Errorf("%w: record %d: %w", ErrDamaged, next, err)
			}
			if len(key) != 8 || binary.BigEndian.Uint64(key) != next || r.Seq != next {
				return fmt.Errorf("%w: found record %d, want %d", ErrDamaged, r.Seq, next)
			}
			records = append(records, r)
			return nil
		})
	})
	if err != nil {
		return reshard.Base{}, layout.Fleet{}, nil, fmt.Errorf("change log: %w", err)
	}
	l.lastSeq, l.recordsSinceBase = b.Seq+uint64(len(records)), len(records)
	return b, f, records, nil
}
