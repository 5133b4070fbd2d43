package admin

import (
	"fmt"

	"eiderwinch/internal/layout"
	"eiderwinch/internal/layout/custody"
	"eiderwinch/internal/layout/reshard"
)

// Change is a change of the layout, as `layout plan --json` proposes and `layout
// apply` asks for it.
type Change struct {
	Kind     string             `json:"change"`
	Segments []layout.SegmentID `json:"segments"`
	At       layout.Key         `json:"at,omitempty"`
	Share    float64            `json:"share,omitempty"`
	Holders  [][]string         `json:"holders"`
	Why      string             `json:"why,omitempty"`
}

// NewChange is a change in that form.
func NewChange(c layout.Change, why string) Change {
	return Change{c.Kind.String(), c.Segments, c.At, c.Share, c.Holders, why}
}

// Layout is the change itself.
func (c Change) Layout() (layout.Change, error) {
	kind, err := layout.ParseChangeKind(c.Kind)
	if err != nil {
		return layout.Change{}, err
	}
	if kind != layout.Split && (c.At != "" || c.Share != 0) {
		return layout.Change{}, fmt.Errorf("%v: found a key or a share, want them in a split only", kind)
	}
	return layout.Change{Kind: kind, Segments: c.Segments, At: c.At, Share: c.Share, Holders: c.Holders}, nil
}

// Submission asks a coordinator for changes, of which it takes on each or says
// why not.
type Submission struct {
	// Epoch is the epoch that the changes were made up for; 0 means any. Where the
	// coordinator has another, none is taken on.
	Epoch   layout.Epoch `json:"epoch,omitempty"`
	Changes []Change     `json:"changes"`
}

// Taken is what became of one change of a submission.
type Taken struct {
	Job   reshard.JobID `json:"job,omitempty"`
	Error string        `json:"error,omitempty"` // why it was refused
}

// Abortion asks for a change to be undone.
type Abortion struct {
	Reason string `json:"reason"`
}

// Job is a change under way, or over.
type Job struct {
	Job    reshard.JobID      `json:"job"`
	Phase  string             `json:"phase"`
	Over   bool               `json:"over"`
	Heirs  []layout.SegmentID `json:"heirs,omitempty"`
	Copied int                `json:"copied"` // of its new holders
	Of     int                `json:"of"`
	Reason string             `json:"reason,omitempty"`
	Change
}

// PeerState is what a coordinator knows of a gatherer or searcher.
type PeerState struct {
	Name  string       `json:"name"`
	Epoch layout.Epoch `json:"epoch,omitempty"`
	Up    bool         `json:"up"`
}

// Status is what a coordinator tells of itself.
type Status struct {
	Term      uint64         `json:"term"`
	Epoch     layout.Epoch   `json:"epoch"`
	Segments  int            `json:"segments"`
	Rows      float64        `json:"rows_per_second"`
	BaseMS    float64        `json:"p99_without_copies_ms,omitempty"`
	Jobs      []Job          `json:"jobs"`
	Gatherers []PeerState    `json:"gatherers"`
	Searchers []PeerState    `json:"searchers"`
	Counts    reshard.Counts `json:"counts"`
	Custody   custody.Counts `json:"custody"`
}
