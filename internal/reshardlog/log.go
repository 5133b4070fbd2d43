// Package reshardlog keeps a coordinator's records on disk, so that one that is
// killed at any step goes on or undoes. It is a bbolt file: a commit is atomic
// and on disk when Append returns.
//
// Form, version 1. Bucket "meta" holds "version" (one byte, 1), "base" (the
// layout and fleet that the records begin at, as internal/layoutfile writes
// them) and "at" (two numbers of 8 bytes, most significant first: the number of
// the last record before the base, and of the last job given out). Bucket
// "records" holds one record for each key, which is its number in 8 bytes, most
// significant first; the value is JSON. Every value but "version" ends in 4 bytes
// of CRC-32C (RFC 3720, appendix B.4) over key and value, since bbolt checks its
// own pages but not what lies in them.
package reshardlog

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"time"

	"go.etcd.io/bbolt"

	"eiderwinch/internal/layout"
	"eiderwinch/internal/layoutfile"
	"eiderwinch/internal/reshard"
)

const (
	version  = 1
	lockWait = 2 * time.Second // another process holds the file: two coordinators must not write one log
	maxSince = 4096            // records after the base; a change has six at the most, so some 700 changes
)

var (
	bucketMeta    = []byte("meta")
	bucketRecords = []byte("records")
	keyVersion    = []byte("version")
	keyBase       = []byte("base")
	keyAt         = []byte("at")
	castagnoli    = crc32.MakeTable(crc32.Castagnoli)
)

// The faults of a file.
var (
	ErrDamaged = errors.New("the log is damaged")
	ErrVersion = errors.New("the log is of another version")
	ErrEmpty   = errors.New("the log holds no layout yet")
	ErrLong    = errors.New("the log is full: nothing can be compacted while changes are under way")
)

// Log is an open log. It is for one goroutine.
type Log struct {
	db    *bbolt.DB
	last  uint64
	since int // records after the base
}

// Open opens a log, or makes one. A new one is Empty until Begin.
func Open(path string) (*Log, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockWait})
	if err != nil {
		return nil, fmt.Errorf("change log %s: %w", path, err)
	}
	l := &Log{db: db}
	if err := db.Update(l.prepare); err != nil {
		return nil, errors.Join(fmt.Errorf("change log %s: %w", path, err), db.Close())
	}
	return l, nil
}

// prepare makes the buckets, and checks the version of a file that has them.
func (l *Log) prepare(tx *bbolt.Tx) error {
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
		return meta.Put(keyVersion, []byte{version})
	case len(v) != 1 || v[0] != version:
		return fmt.Errorf("%w: found %v, want %d", ErrVersion, v, version)
	}
	return nil
}

// Close closes the file.
func (l *Log) Close() error { return l.db.Close() }

// Begin makes a base the beginning of the log. What stood there before is gone:
// it is for a new log, and for compacting one when nothing is under way.
func (l *Log) Begin(b reshard.Base, f layout.Fleet) error {
	var text bytes.Buffer
	if err := layoutfile.Write(&text, b.Layout, f); err != nil {
		return err
	}
	at := binary.BigEndian.AppendUint64(nil, b.Seq)
	at = binary.BigEndian.AppendUint64(at, uint64(b.Job))
	err := l.db.Update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if err := errors.Join(meta.Put(keyBase, sealed(keyBase, text.Bytes())), meta.Put(keyAt, sealed(keyAt, at))); err != nil {
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
	l.last, l.since = b.Seq, 0
	return nil
}

// Append writes records in one commit. They are on disk when it returns nil, and
// none of them is otherwise.
func (l *Log) Append(records []reshard.Record) error {
	if len(records) == 0 {
		return nil
	}
	if l.since+len(records) > maxSince {
		return fmt.Errorf("%w: %d records", ErrLong, l.since)
	}
	next := l.last
	err := l.db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(bucketRecords)
		for _, r := range records {
			if next++; r.Seq != next {
				return fmt.Errorf("record %d follows number %d", r.Seq, next-1)
			}
			text, err := json.Marshal(r)
			if err != nil {
				return err
			}
			key := binary.BigEndian.AppendUint64(nil, r.Seq)
			if err := bucket.Put(key, sealed(key, text)); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("change log: %w", err)
	}
	l.last, l.since = next, l.since+len(records)
	return nil
}

// Full tells that the log should be compacted as soon as nothing is under way.
func (l *Log) Full() bool { return l.since > maxSince/2 }

// Load reads all that the log holds. Nothing of a damaged one is returned.
func (l *Log) Load() (b reshard.Base, f layout.Fleet, records []reshard.Record, err error) {
	err = l.db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if meta.Get(keyBase) == nil {
			return ErrEmpty
		}
		text, err := open(keyBase, meta.Get(keyBase))
		if err != nil {
			return err
		}
		at, err := open(keyAt, meta.Get(keyAt))
		if err != nil || len(at) != 16 {
			return fmt.Errorf("%w: where the base stands", ErrDamaged)
		}
		b.Seq, b.Job = binary.BigEndian.Uint64(at), reshard.JobID(binary.BigEndian.Uint64(at[8:]))
		if b.Layout, f, err = layoutfile.Read("base", bytes.NewReader(text)); err != nil {
			return fmt.Errorf("%w: %w", ErrDamaged, err)
		}
		next := b.Seq
		return tx.Bucket(bucketRecords).ForEach(func(key, value []byte) error {
			next++
			text, err := open(key, value)
			if err != nil {
				return err
			}
			var r reshard.Record
			if err := json.Unmarshal(text, &r); err != nil {
				return fmt.Errorf("%w: record %d: %w", ErrDamaged, next, err)
			}
			if len(key) != 8 || binary.BigEndian.Uint64(key) != next || r.Seq != next {
				return fmt.Errorf("%w: record %d stands where %d belongs", ErrDamaged, r.Seq, next)
			}
			records = append(records, r)
			return nil
		})
	})
	if err != nil {
		return reshard.Base{}, layout.Fleet{}, nil, fmt.Errorf("change log: %w", err)
	}
	l.last, l.since = b.Seq+uint64(len(records)), len(records)
	return b, f, records, nil
}

const sumSize = 4

func sum(key, value []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, value)
}

// sealed returns a value with its checksum behind it.
func sealed(key, value []byte) []byte {
	return binary.BigEndian.AppendUint32(bytes.Clone(value), sum(key, value))
}

// open checks a value and returns it without its checksum.
func open(key, value []byte) ([]byte, error) {
	n := len(value) - sumSize
	if n < 0 || binary.BigEndian.Uint32(value[n:]) != sum(key, value[:n]) {
		return nil, fmt.Errorf("%w: the checksum of %q does not fit", ErrDamaged, key)
	}
	return bytes.Clone(value[:n]), nil
}
