package keeper

import (
	"context"
	"errors"
	"fmt"
	"time"

	"eiderwinch/internal/configuration/bundle"
	"eiderwinch/internal/configuration/change"
)

// Staged is what became of a configuration that was staged.
type Staged struct {
	Tx      change.Tx `json:"transaction"`
	Hash    string    `json:"hash"`
	Restart []string  `json:"restart,omitempty"` // what takes effect at the next start only
}

// Stage checks a configuration, tries it on the world as it is, and stages it. A
// part that is empty stays as it is in force. Against is the generation that it
// was made against; 0 means the one in force now. The signature, where one is
// needed, is of the bundle as it is given here.
func (k *Keeper) Stage(ctx context.Context, b bundle.Bundle, against change.Generation, note, signature string) (Staged, error) {
	if k.opts.Verify != nil {
		if err := k.opts.Verify(b.Hash(), signature); err != nil {
			return Staged{}, err
		}
	}
	var now *bundle.Candidate
	if err := k.do(ctx, func() { now = k.inForce }); err != nil {
		return Staged{}, err
	}
	if len(b.Platform) == 0 {
		b.Platform = now.Platform
	}
	if len(b.Operators) == 0 {
		b.Operators = now.Operators
	}
	if len(b.Layout) == 0 {
		b.Layout = now.Bundle.Layout
	}
	c, err := bundle.Check(b, k.opts.Names)
	if err != nil {
		return Staged{}, err
	}
	if err := k.dryRun(ctx, c); err != nil {
		return Staged{}, err
	}
	out := Staged{Hash: fmt.Sprintf("%x", c.Hash), Restart: bundle.Restart(k.opts.Boot, c)}
	err = k.do(ctx, func() {
		r := k.step(change.Stage{Hash: c.Hash, Against: against, Note: note}, c)
		if out.Tx, err = r.Tx, r.Err; err == nil {
			k.remember(c)
		}
	})
	if err != nil {
		return Staged{}, err
	}
	return out, nil
}

// Apply puts a staged configuration in force, on probation for so long. Zero means
// as the configuration itself says.
func (k *Keeper) Apply(ctx context.Context, tx change.Tx, within time.Duration, auto *bool) error {
	return k.ask(ctx, func() change.Event {
		e := change.Apply{Tx: tx, Within: within}
		for _, t := range k.m.Txs() {
			if c := k.texts[t.Hash]; t.Tx == tx && c != nil {
				if e.Auto = c.File.Guard.Auto; e.Within == 0 {
					e.Within = c.File.Guard.Probation
				}
			}
		}
		if auto != nil {
			e.Auto = *auto
		}
		return e
	})
}

// Confirm makes one on probation stay.
func (k *Keeper) Confirm(ctx context.Context, tx change.Tx) error {
	return k.ask(ctx, func() change.Event { return change.Confirm{Tx: tx} })
}

// Undo takes one back that is not confirmed.
func (k *Keeper) Undo(ctx context.Context, tx change.Tx, reason string) error {
	return k.ask(ctx, func() change.Event { return change.Undo{Tx: tx, Reason: reason} })
}

func (k *Keeper) ask(ctx context.Context, event func() change.Event) error {
	var err error
	if end := k.do(ctx, func() { err = k.step(event(), nil).Err }); end != nil {
		return end
	}
	return err
}

// Reload reads the files again and applies them, as SIGHUP asks for.
func (k *Keeper) Reload(ctx context.Context) error {
	b, signature, err := k.opts.Read()
	if err != nil {
		return err
	}
	s, err := k.Stage(ctx, b, 0, "reload", signature)
	if errors.Is(err, change.ErrNothing) {
		k.opts.Logger.Info("configuration not changed")
		return nil
	}
	if err != nil {
		return err
	}
	if len(s.Restart) > 0 {
		k.opts.Logger.Warn("these take effect at the next start", "keys", s.Restart)
	}
	if err := k.Apply(ctx, s.Tx, 0, nil); err != nil {
		// Else it would stay staged for ever: nobody knows its number.
		return errors.Join(err, k.Undo(ctx, s.Tx, err.Error()))
	}
	return nil
}

// Transaction is one as it is shown.
type Transaction struct {
	Tx      change.Tx         `json:"transaction"`
	State   string            `json:"state"`
	Over    bool              `json:"over"`
	Hash    string            `json:"hash"`
	Against change.Generation `json:"against"`
	Gen     change.Generation `json:"generation,omitempty"`
	Reason  string            `json:"reason,omitempty"`
	At      time.Time         `json:"at"`
	Left    string            `json:"left,omitempty"` // of its probation
}

// Status is how things stand.
type Status struct {
	Confirmed    change.Generation `json:"confirmed"`
	InForce      change.Generation `json:"in_force"`
	Hash         string            `json:"hash"`
	Open         []uint64          `json:"open"`    // generations that open queries were taken under, and that in force
	Durable      bool              `json:"durable"` // the history is on disk
	Falls        []string          `json:"falls,omitempty"`
	Transactions []Transaction     `json:"transactions"`
	Counts       change.Counts     `json:"counts"`
}

// Status returns how things stand.
func (k *Keeper) Status(ctx context.Context) (s Status, err error) {
	s.Open, _ = k.opts.Node.Generations(ctx)
	err = k.do(ctx, func() {
		s.Confirmed, _ = k.m.Confirmed()
		s.InForce, s.Hash = k.gen, fmt.Sprintf("%x", k.inForce.Hash)
		s.Durable, s.Falls, s.Counts = k.opts.History != nil, k.falls, k.m.Counts()
		s.Transactions = []Transaction{}
		for _, t := range k.m.Txs() {
			x := Transaction{
				Tx: t.Tx, State: t.State.String(), Over: t.State.Over(), Hash: fmt.Sprintf("%x", t.Hash),
				Against: t.Against, Gen: t.Gen, Reason: t.Reason, At: t.At,
			}
			if t.State == change.Probation {
				x.Left = time.Until(t.Due).Round(time.Millisecond).String()
			}
			s.Transactions = append(s.Transactions, x)
		}
	})
	return s, err
}

// ErrNoText is why a generation can't be shown.
var ErrNoText = errors.New("its text is not kept any more")

// Show returns the texts of a generation that is in force or was.
func (k *Keeper) Show(ctx context.Context, gen change.Generation) (b bundle.Bundle, err error) {
	found := errors.New("no such generation")
	end := k.do(ctx, func() {
		hash := change.Hash{}
		if confirmed, h := k.m.Confirmed(); confirmed == gen {
			hash, found = h, nil
		}
		for _, t := range k.m.Txs() {
			if t.Gen == gen {
				hash, found = t.Hash, nil
			}
		}
		if found != nil {
			return
		}
		if c := k.texts[hash]; c != nil {
			b = c.Bundle
			return
		}
		disk, ok := k.opts.History.(interface {
			Text(change.Hash) (bundle.Bundle, error)
		})
		if !ok {
			found = ErrNoText
			return
		}
		b, found = disk.Text(hash)
	})
	if err := errors.Join(end, found); err != nil {
		return bundle.Bundle{}, fmt.Errorf("generation %d: %w", gen, err)
	}
	return b, nil
}
