// Package history keeps the configuration's transactions and texts on disk, so
// that a gatherer that is killed at any byte comes up in the last generation that
// was confirmed. It is a bbolt file: a commit is atomic and on disk when a method
// returns.
//
// Form, version 1. Bucket "meta" holds "version" (one byte, 1) and "base" (JSON of
// a change.Base). Bucket "records" holds the JSON of one change.Record for each
// key, its number in 8 bytes, most significant first. Bucket "texts" holds one
// bundle for each key, its BLAKE3 hash: JSON of a bundle.Bundle, compressed by
// zstd (RFC 8878). Every value but "version" carries the checksum of package
// sealed.
//
// bbolt was chosen over a log of our own with snapshots: it is there already for
// the coordinator, its commits are atomic, and history is written a few times a
// day, so what a commit costs does not matter.
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
	version  = 1
	lockWait = 2 * time.Second // another process holds the file
	// maxRecords bounds the records after the base. A change has four, so this is
	// some thousand changes; the keeper compacts at half of it.
	maxRecords = 4096
	// keptTexts is how many texts of confirmed generations are kept to be looked at
	// or applied again.
	keptTexts = 64
)

var (
	bucketMeta    = []byte("meta")
	bucketRecords = []byte("records")
	bucketTexts   = []byte("texts")
	keyVersion    = []byte("version")
	keyBase       = []byte("base")
	keyKept       = []byte("kept")
)

// The faults of a file.
var (
	ErrVersion = errors.New("the history is of another version")
	ErrEmpty   = errors.New("the history holds nothing yet")
	ErrLong    = fmt.Errorf("the history is full: nothing can be compacted while a change is under way (%w)", durable.ErrPermanent)
	ErrNoText  = errors.New("the history holds no such configuration")
)

// History is an open history. It is for one goroutine.
type History struct {
	db    *bbolt.DB
	zip   *zstd.Encoder
	unzip *zstd.Decoder
	last  uint64
	since int
}

// Open opens a history, or makes one. A new one is empty until Begin.
func Open(path string) (*History, error) {
	db, err := durable.OpenBolt(path, &bbolt.Options{Timeout: lockWait})
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
			return meta.Put(keyVersion, []byte{version})
		case len(v) != 1 || v[0] != version:
			return fmt.Errorf("%w: found %v, want %d", ErrVersion, v, version)
		}
		return nil
	})
	if err == nil {
		h.zip, err = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	}
	if err == nil {
		h.unzip, err = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(2*bundle.MostBytes))
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("history %s: %w", path, err), db.Close())
	}
	return h, nil
}

// Close closes the file.
func (h *History) Close() error {
	h.unzip.Close()
	return errors.Join(h.zip.Close(), h.db.Close())
}

// Begin makes a base the beginning: for a new history, with the text of its
// generation, and for compacting one while nothing is under way. Of older texts
// the last that were confirmed are kept.
func (h *History) Begin(b change.Base, text bundle.Bundle) error {
	base, err := json.Marshal(b)
	if err != nil {
		return err
	}
	err = h.db.Update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		kept, err := h.kept(meta)
		if err != nil {
			return err
		}
		err = tx.Bucket(bucketRecords).ForEach(func(key, value []byte) error {
			r, err := record(key, value)
			if err == nil && r.State == change.Staged {
				kept = append(kept, r.Hash)
			}
			return err
		})
		if err != nil {
			return err
		}
		kept = append(slices.DeleteFunc(kept, func(h change.Hash) bool { return h == b.Hash }), b.Hash)
		kept = kept[max(len(kept)-keptTexts, 0):]
		if err := h.put(tx, b.Hash, text); err != nil {
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
	h.last, h.since = b.Seq, 0
	return nil
}

// kept are the hashes of texts that were kept at the last Begin, the oldest first.
func (h *History) kept(meta *bbolt.Bucket) (list []change.Hash, err error) {
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

// put writes a text, unless it is there.
func (h *History) put(tx *bbolt.Tx, hash change.Hash, text bundle.Bundle) error {
	texts := tx.Bucket(bucketTexts)
	if texts.Get(hash[:]) != nil {
		return nil
	}
	plain, err := json.Marshal(text)
	if err != nil {
		return err
	}
	return texts.Put(hash[:], sealed.Seal(hash[:], h.zip.EncodeAll(plain, nil)))
}

// Append writes records, and the text that one of them staged, in one commit.
func (h *History) Append(records []change.Record, text *bundle.Bundle) error {
	if len(records) == 0 {
		return nil
	}
	if h.since+len(records) > maxRecords {
		return fmt.Errorf("%w: %d records", ErrLong, h.since)
	}
	next := h.last
	err := h.db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(bucketRecords)
		for _, r := range records {
			if next++; r.Seq != next {
				return fmt.Errorf("record %d follows number %d (%w)", r.Seq, next-1, durable.ErrPermanent)
			}
			if r.State == change.Staged && text != nil {
				if err := h.put(tx, r.Hash, *text); err != nil {
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
	h.last, h.since = next, h.since+len(records)
	return nil
}

// Full tells that it should be compacted as soon as nothing is under way.
func (h *History) Full() bool { return h.since > maxRecords/2 }

func record(key, value []byte) (r change.Record, err error) {
	text, err := sealed.Open(key, value)
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(text, &r); err != nil || len(key) != 8 || r.Seq != binary.BigEndian.Uint64(key) {
		return r, fmt.Errorf("%w: record %x: %v", sealed.ErrDamaged, key, err)
	}
	return r, nil
}

// Load reads the base and the records. Nothing of a damaged one is returned.
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
			r, err := record(key, value)
			if want := b.Seq + uint64(len(records)) + 1; err == nil && r.Seq != want {
				err = fmt.Errorf("%w: record %d stands where %d belongs", sealed.ErrDamaged, r.Seq, want)
			}
			records = append(records, r)
			return err
		})
	})
	if err != nil {
		return change.Base{}, nil, fmt.Errorf("history: %w", err)
	}
	h.last, h.since = b.Seq+uint64(len(records)), len(records)
	return b, records, nil
}

// Text returns the configuration of a hash.
func (h *History) Text(hash change.Hash) (b bundle.Bundle, err error) {
	err = h.db.View(func(tx *bbolt.Tx) error {
		v := tx.Bucket(bucketTexts).Get(hash[:])
		if v == nil {
			return fmt.Errorf("%w: %x", ErrNoText, hash[:8])
		}
		packed, err := sealed.Open(hash[:], v)
		if err != nil {
			return err
		}
		plain, err := h.unzip.DecodeAll(packed, nil)
		if err != nil {
			return fmt.Errorf("%w: %w", sealed.ErrDamaged, err)
		}
		if err := json.Unmarshal(plain, &b); err != nil {
			return fmt.Errorf("%w: %w", sealed.ErrDamaged, err)
		}
		if b.Hash() != hash {
			return fmt.Errorf("%w: the text of %x hashes to something else", sealed.ErrDamaged, hash[:8])
		}
		return nil
	})
	if err != nil {
		return bundle.Bundle{}, fmt.Errorf("history: %w", err)
	}
	return b, nil
}
