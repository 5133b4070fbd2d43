// Package history stores configuration transactions and texts on disk, so that a
// gatherer killed during any write recovers the last confirmed generation. The
// store is a bbolt file: each commit is atomic, and on disk when a method returns.
//
// Format, version 1. Bucket "meta" holds "version" (one byte, 1), "base" (JSON of a
// change.Base) and "kept" (JSON list of the hashes of the texts kept at the last
// compaction). Bucket "records" holds the JSON of one change.Record per key; the key
// is the record's number in 8 bytes, big-endian. Bucket "texts" holds one bundle per
// key, its BLAKE3 hash: the JSON of a bundle.Bundle, compressed with zstd (RFC 8878).
// Every value but "version" carries the checksum of package sealed.
//
// bbolt was chosen over a custom log with snapshots because the coordinator already
// uses it and its commits are atomic. The history is written a few times a day, so
// the cost of a commit does not matter.
package history

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/klauspost/compress/zstd"
	"go.etcd.io/bbolt"

	"eiderwinch/internal/configuration/bundle"
	"eiderwinch/internal/configuration/change"
	"eiderwinch/internal/durable"
	"eiderwinch/internal/format/sealed"
)

const (
	formatVersion = 1
	lockTimeout   = 2 * time.Second // how long to wait for another process that holds the file
	// maxRecords bounds the records after the base. A change has four records, so
	// this is about a thousand changes. The configuration manager compacts at half
	// of it.
	maxRecords = 4096
	// maxKeptTexts is how many texts a compaction keeps, so that they can be shown or
	// applied again.
	maxKeptTexts = 64
)

var (
	bucketMeta    = []byte("meta")
	bucketRecords = []byte("records")
	bucketTexts   = []byte("texts")
	keyVersion    = []byte("version")
	keyBase       = []byte("base")
	keyKept       = []byte("kept")
)

// Errors of a history file.
var (
	ErrVersion = errors.New("unsupported history version")
	ErrEmpty   = errors.New("the history is empty")
	ErrFull    = fmt.Errorf("the history is full: it cannot be compacted while a change is under way (%w)", durable.ErrPermanent)
	ErrNoText  = errors.New("no such configuration in the history")
)

// History is an open history file. It is not safe for concurrent use.
type History struct {
	db               *bbolt.DB
	encoder          *zstd.Encoder
	decoder          *zstd.Decoder
	lastSeq          uint64
	recordsSinceBase int
}

// Open opens a history file, or creates one. A new history is empty until SetBase.
func Open(path string) (*History, error) {
	db, err := durable.OpenBolt(path, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, fmt.Errorf("history %s: %w", path, err)
	}
	h := &History{db: db}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [...][]byte{bucketMeta, bucketRecords, bucketTexts} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		meta := tx.Bucket(bucketMeta)
		switch v := meta.Get(keyVersion); {
		case v == nil:
			return meta.Put(keyVersion, []byte{formatVersion})
		case len(v) != 1 || v[0] != formatVersion:
			return fmt.Errorf("%w: found %v, want %d", ErrVersion, v, formatVersion)
		}
		return nil
	})
	if err == nil {
		h.encoder, err = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	}
	if err == nil {
		h.decoder, err = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(2*bundle.MaxBytes))
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("history %s: %w", path, err), db.Close())
	}
	return h, nil
}

// Close closes the history file.
func (h *History) Close() error {
	h.decoder.Close()
	return errors.Join(h.encoder.Close(), h.db.Close())
}

// SetBase replaces the base and drops all records. It starts a new history, with the
// text of its generation, or compacts one while no change is under way. The latest
// maxKeptTexts texts are kept.
func (h *History) SetBase(b change.Base, text bundle.Bundle) error {
	base, err := json.Marshal(b)
	if err != nil {
		return err
	}
	err = h.db.Update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		kept, err := h.keptHashes(meta)
		if err != nil {
			return err
		}
		err = tx.Bucket(bucketRecords).ForEach(func(key, value []byte) error {
			r, err := decodeRecord(key, value)
			if err == nil && r.State == change.Staged {
				kept = append(kept, r.Hash)
			}
			return err
		})
		if err != nil {
			return err
		}
		kept = append(slices.DeleteFunc(kept, func(keptHash change.Hash) bool { return keptHash == b.Hash }), b.Hash)
		kept = kept[max(len(kept)-maxKeptTexts, 0):]
		if err := h.putText(tx, b.Hash, text); err != nil {
			return err
		}
		texts := tx.Bucket(bucketTexts)
		var drop [][]byte
		err = texts.ForEach(func(key, _ []byte) error {
			if !slices.ContainsFunc(kept, func(h change.Hash) bool { return string(h[:]) == string(key) }) {
				drop = append(drop, slices.Clone(key))
			}
			return nil
		})
		for _, key := range drop {
			err = errors.Join(err, texts.Delete(key))
		}
		list, jsonErr := json.Marshal(kept)
		err = errors.Join(err, jsonErr, meta.Put(keyKept, sealed.Seal(keyKept, list)), meta.Put(keyBase, sealed.Seal(keyBase, base)),
			tx.DeleteBucket(bucketRecords))
		if err != nil {
			return err
		}
		_, err = tx.CreateBucket(bucketRecords)
		return err
	})
	if err != nil {
		return fmt.Errorf("history: %w", err)
	}
	h.lastSeq, h.recordsSinceBase = b.Seq, 0
	return nil
}

// keptHashes returns the hashes of the texts kept at the last SetBase, oldest first.
func (h *History) keptHashes(meta *bbolt.Bucket) (list []change.Hash, err error) {
	v := meta.Get(keyKept)
	if v == nil {
		return nil, nil
	}
	text, err := sealed.Open(keyKept, v)
	if err != nil {
		return nil, err
	}
	return list, json.Unmarshal(text, &list)
}

// putText stores a text unless it is already there.
func (h *History) putText(tx *bbolt.Tx, hash change.Hash, text bundle.Bundle) error {
	texts := tx.Bucket(bucketTexts)
	if texts.Get(hash[:]) != nil {
		return nil
	}
	plain, err := json.Marshal(text)
	if err != nil {
		return err
	}
	return texts.Put(hash[:], sealed.Seal(hash[:], h.encoder.EncodeAll(plain, nil)))
}

// Append writes records, and the text of the one that is staged, in one commit.
func (h *History) Append(records []change.Record, text *bundle.Bundle) error {
	if len(records) == 0 {
		return nil
	}
	if h.recordsSinceBase+len(records) > maxRecords {
		return fmt.Errorf("%w: %d records", ErrFull, h.recordsSinceBase)
	}
	next := h.lastSeq
	err := h.db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(bucketRecords)
		for _, r := range records {
			if next++; r.Seq != next {
				return fmt.Errorf("out of sequence: record %d follows number %d (%w)", r.Seq, next-1, durable.ErrPermanent)
			}
			if r.State == change.Staged && text != nil {
				if err := h.putText(tx, r.Hash, *text); err != nil {
					return err
				}
			}
			value, err := json.Marshal(r)
			if err != nil {
				return err
			}
			key := binary.BigEndian.AppendUint64(nil, r.Seq)
			if err := bucket.Put(key, sealed.Seal(key, value)); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("history: %w", err)
	}
	h.lastSeq, h.recordsSinceBase = next, h.recordsSinceBase+len(records)
	return nil
}

// NeedsCompaction reports whether the history should be compacted as soon as no
// change is under way.
func (h *History) NeedsCompaction() bool { return h.recordsSinceBase > maxRecords/2 }

// decodeRecord verifies and decodes one record and checks its number against the key.
func decodeRecord(key, value []byte) (r change.Record, err error) {
	text, err := sealed.Open(key, value)
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(text, &r); err != nil || len(key) != 8 || r.Seq != binary.BigEndian.Uint64(key) {
		return r, fmt.Errorf("%w: record %x: %v", sealed.ErrDamaged, key, err)
	}
	return r, nil
}

// Load reads the base and the records. It returns nothing of a damaged history.
func (h *History) Load() (b change.Base, records []change.Record, err error) {
	err = h.db.View(func(tx *bbolt.Tx) error {
		v := tx.Bucket(bucketMeta).Get(keyBase)
		if v == nil {
			return ErrEmpty
		}
		text, err := sealed.Open(keyBase, v)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(text, &b); err != nil {
			return fmt.Errorf("%w: the base: %w", sealed.ErrDamaged, err)
		}
		return tx.Bucket(bucketRecords).ForEach(func(key, value []byte) error {
			r, err := decodeRecord(key, value)
			if want := b.Seq + uint64(len(records)) + 1; err == nil && r.Seq != want {
				err = fmt.Errorf("%w: found record %d, want %d", sealed.ErrDamaged, r.Seq, want)
			}
			records = append(records, r)
			return err
		})
	})
	if err != nil {
		return change.Base{}, nil, fmt.Errorf("history: %w", err)
	}
	h.lastSeq, h.recordsSinceBase = b.Seq+uint64(len(records)), len(records)
	return b, records, nil
}

// Text returns the configuration with the given hash.
func (h *History) Text(hash change.Hash) (b bundle.Bundle, err error) {
	err = h.db.View(func(tx *bbolt.Tx) error {
		v := tx.Bucket(bucketTexts).Get(hash[:])
		if v == nil {
			return fmt.Errorf("%w: %x", ErrNoText, hash[:8])
		}
		compressed, err := sealed.Open(hash[:], v)
		if err != nil {
			return err
		}
		plain, err := h.decoder.DecodeAll(compressed, nil)
		if err != nil {
			return fmt.Errorf("%w: %w", sealed.ErrDamaged, err)
		}
		if err := json.Unmarshal(plain, &b); err != nil {
			return fmt.Errorf("%w: %w", sealed.ErrDamaged, err)
		}
		if b.Hash() != hash {
			return fmt.Errorf("%w: the text stored for %x has another hash", sealed.ErrDamaged, hash[:8])
		}
		return nil
	})
	if err != nil {
		return bundle.Bundle{}, fmt.Errorf("history: %w", err)
	}
	return b, nil
}
