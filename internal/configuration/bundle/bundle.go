// Package bundle holds a gatherer's whole configuration as texts: the platform's file,
// the operators' file and the layout. It checks them against each other and identifies
// them by a hash. It does no I/O.
package bundle

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/zeebo/blake3"

	"eiderwinch/internal/configuration/change"
	"eiderwinch/internal/format/config"
	"eiderwinch/internal/format/settings"
	"eiderwinch/internal/layout"
	"eiderwinch/internal/layout/layoutfile"
)

// Bundle holds the texts of a configuration.
type Bundle struct {
	Platform  []byte `json:"platform"`  // JSON
	Operators []byte `json:"operators"` // XML
	Layout    []byte `json:"layout"`    // XML; empty: the platform's cells assign shards to searchers
}

// MaxBytes is the largest size of a bundle. A layout of 10,000 segments has about 2 MB.
const MaxBytes = 32 << 20

// Hash returns the BLAKE3 hash of the texts, each preceded by its length.
func (b Bundle) Hash() change.Hash { return hashTexts(b.Platform, b.Operators, b.Layout) }

func hashTexts(texts ...[]byte) change.Hash {
	h := blake3.New()
	for _, text := range texts {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(text)))) // never fails
		_, _ = h.Write(text)
	}
	return change.Hash(h.Sum(nil))
}

// Candidate is a bundle that was parsed and checked.
type Candidate struct {
	Bundle
	Hash   change.Hash
	Config *config.Config
	File   *settings.File
	Layout *layout.Layout // nil: the platform's cells assign shards to searchers
	Fleet  layout.Fleet   // the searchers and the number of replicas, from the layout's file
}

// Files identifies the files for decisions about a reload. Of the platform's file the subject contains the settings
// alone: name, listener, discovery, limits of the process, seed and known searchers are the platform's to decide.
func (c *Candidate) Files() change.Files {
	return change.Files{
		Platform: hashTexts(c.Bundle.Platform),
		Subject:  hashTexts(c.Config.Settings.Canonical(), c.Bundle.Operators, c.Bundle.Layout),
	}
}

// Names holds the names of the files, which are used in messages only.
type Names struct{ Platform, Operators, Layout string }

// ErrTooLarge is returned for a bundle that exceeds MaxBytes.
var ErrTooLarge = errors.New("the configuration is too large")

// Check parses a bundle. The error joins all faults that were found.
func Check(b Bundle, names Names) (*Candidate, error) {
	if size := len(b.Platform) + len(b.Operators) + len(b.Layout); size > MaxBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, size, MaxBytes)
	}
	c := &Candidate{Bundle: b, Hash: b.Hash()}
	var errs []error
	var err error
	if c.Config, err = config.Parse(b.Platform); err != nil {
		errs = append(errs, fmt.Errorf("%s: %w", names.Platform, err))
	}
	if c.File, err = settings.Read(names.Operators, bytes.NewReader(b.Operators)); err != nil {
		errs = append(errs, err)
	}
	if c.Config != nil && c.File != nil {
		errs = append(errs, c.File.CheckPlatform(names.Operators, c.Config.Settings))
	}
	if len(b.Layout) > 0 {
		if c.Layout, c.Fleet, err = layoutfile.Read(names.Layout, bytes.NewReader(b.Layout)); err != nil {
			errs = append(errs, err)
		} else if err := c.Layout.Check(c.Fleet); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", names.Layout, err))
		}
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return c, nil
}

// RestartKeys returns the keys that differ between two candidates and take effect only at
// the next start: the listener, file descriptors, and the settings that the decision
// module gets when it starts.
func RestartKeys(current, next *Candidate) (keys []string) {
	keys = current.Config.PendingRestart(next.Config)
	for _, setting := range []struct {
		key     string
		differs bool
	}{
		{"admin", current.File.Admin != next.File.Admin},
		{"layout/@follow", current.File.Follow != next.File.Follow},
		{"layout", (current.Layout == nil) != (next.Layout == nil)},
	} {
		if setting.differs {
			keys = append(keys, setting.key)
		}
	}
	slices.Sort(keys)
	return keys
}
