// Package reshardlog keeps a coordinator's records on disk, so that one that is
// killed at any step goes on or undoes. It is a bbolt file: a commit is atomic
// and on disk when Append returns.
//
// Form, version 1. Bucket "meta" holds "version" (one byte, 1), "base" (the
// layout and fleet that the records begin at, as internal/layout/layoutfile writes
// them) and "at" (two numbers of 8 bytes, most significant first: the number of
// the last record before the base, and of the last job given out) "term" (8
// bytes: how often the log was opened) and "id" (8 random bytes). Bucket
// "records" holds one record for each key, which is its number in 8 bytes, most
// significant first; the value is JSON. Every value but "version" ends in 4 bytes
// of CRC-32C (RFC 3720, appendix B.4) over key and value, since bbolt checks its
// own pages but not what lies in them.
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
	keyTerm       = []byte("term")
	keyID         = []byte("id")
)

// The faults of a file.
var (
	ErrDamaged = sealed.ErrDamaged
	ErrVersion = errors.New("the log is of another version")
	ErrEmpty   = errors.New("the log holds no layout yet")
	ErrLong    = fmt.Errorf("the log is full: nothing can be compacted while changes are under way (%w)", durable.ErrPermanent)
)

// Log is an open log. It is for one goroutine.
type Log struct {
	db    *bbolt.DB
	id    string
	term  uint64
	last  uint64
	since int // records after the base
}

// Open opens a log, or makes one. A new one is Empty until Begin.
func Open(path string) (*Log, error) {
	db, err := durable.OpenBolt(path, &bbolt.Options{Timeout: lockWait})
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
			return fmt.Errorf("%w: the term", ErrDamaged)
		}
		l.term = binary.BigEndian.Uint64(text)
	}
	l.term++
	return meta.Put(keyTerm, sealed.Seal(keyTerm, binary.BigEndian.AppendUint64(nil, l.term)))
}

// ID tells this log from all others, which may have begun at other layouts.
func (l *Log) ID() string { return l.id }

// Term is one higher each time that the log is opened, from 1 on: what is told
// to others under a term is older than all that is told under a later one.
func (l *Log) Term() uint64 { return l.term }

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
		if err := errors.Join(meta.Put(keyBase, sealed.Seal(keyBase, text.Bytes())), meta.Put(keyAt, sealed.Seal(keyAt, at))); err != nil {
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
				return fmt.Errorf("record %d follows number %d (%w)", r.Seq, next-1, durable.ErrPermanent)
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
		text, err := sealed.Open(keyBase, meta.Get(keyBase))
		if err != nil {
			return err
		}
		at, err := sealed.Open(keyAt, meta.Get(keyAt))
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
			text, err := sealed.Open(key, value)
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
