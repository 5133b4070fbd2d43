package admin

import (
	"fmt"

	"eiderwinch/internal/layout"
	"eiderwinch/internal/layout/assignment"
	"eiderwinch/internal/layout/reshard"
)

// Change is a change of the layout, as `layout plan --json` prints it and `layout
// apply` submits it.
type Change struct {
	Kind     string             `json:"change"`
	Segments []layout.SegmentID `json:"segments"`
	At       layout.Key         `json:"at,omitempty"`
	Share    float64            `json:"share,omitempty"`
	Holders  [][]string         `json:"holders"`
	Why      string             `json:"why,omitempty"`
}

// NewChange converts a layout change and the reason for it.
func NewChange(c layout.Change, why string) Change {
	return Change{c.Kind.String(), c.Segments, c.At, c.Share, c.Holders, why}
}

// Layout converts c to a layout change. Only a split may have a key or a share.
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

// Submission asks a coordinator for changes. The coordinator accepts or refuses
// each of them.
type Submission struct {
	// Epoch is the epoch that the changes were planned for; 0 means any. If the
	// coordinator has another one, it refuses all changes.
	Epoch   layout.Epoch `json:"epoch,omitempty"`
	Changes []Change     `json:"changes"`
}

// ChangeResult is the result for one change of a submission.
type ChangeResult struct {
	Job   reshard.JobID `json:"job,omitempty"`
	Error string        `json:"error,omitempty"` // why the change was refused
}

// AbortRequest is the request to undo a change.
type AbortRequest struct {
	Reason string `json:"reason"`
}

// Job is a change that is under way or finished.
type Job struct {
	Job        reshard.JobID      `json:"job"`
	Phase      string             `json:"phase"`
	Over       bool               `json:"over"`
	Successors []layout.SegmentID `json:"heirs,omitempty"`
	Copied     int                `json:"copied"` // new holders that have finished copying
	Targets    int                `json:"of"`     // all new holders
	Reason     string             `json:"reason,omitempty"`
	Change
}

// ProcessState is what a coordinator reports about a gatherer or searcher.
type ProcessState struct {
	Name  string       `json:"name"`
	Epoch layout.Epoch `json:"epoch,omitempty"`
	Up    bool         `json:"up"`
}

// CoordinatorStatus is the state that a coordinator reports.
type CoordinatorStatus struct {
	Term               uint64            `json:"term"`
	Epoch              layout.Epoch      `json:"epoch"`
	Segments           int               `json:"segments"`
	RowsPerSecond      float64           `json:"rows_per_second"`
	P99WithoutCopiesMS float64           `json:"p99_without_copies_ms,omitempty"`
	Jobs               []Job             `json:"jobs"`
	Gatherers          []ProcessState    `json:"gatherers"`
	Searchers          []ProcessState    `json:"searchers"`
	Counts             reshard.Counts    `json:"counts"`
	Custody            assignment.Counts `json:"custody"`
}
