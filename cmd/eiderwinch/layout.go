package main

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"eiderwinch/internal/admin"
	"eiderwinch/internal/durable"
	"eiderwinch/internal/layout"
	"eiderwinch/internal/layout/layoutfile"
	"eiderwinch/internal/layout/reshard"
)

// layoutCommands inspect and change layouts.
type layoutCommands struct {
	Check  layoutCheck  `cmd:"" help:"Check a layout file and the fleet in it, and report all faults."`
	Diff   layoutDiff   `cmd:"" help:"Print the differences between two layouts."`
	Plan   layoutPlan   `cmd:"" help:"Propose splits, merges and moves from the load of each segment."`
	Status layoutStatus `cmd:"" help:"Print the state of a running coordinator's changes, gatherers and searchers."`
	Apply  layoutApply  `cmd:"" help:"Submit changes to a running coordinator."`
	Abort  layoutAbort  `cmd:"" help:"Ask a running coordinator to undo a change that has not been cut over."`
	Soak   layoutSoak   `cmd:"" help:"Split, merge and move segments of a loopback deployment under load, with kills, and audit every answer."`
}

// outputFormat holds the flag by which a command prints JSON instead of text.
type outputFormat struct {
	JSON bool `name:"json" help:"Print JSON for programs."`
}

// print prints v as indented JSON.
func (f outputFormat) print(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// readLayout reads a layout file.
func readLayout(path string) (*layout.Layout, layout.Fleet, error) {
	text, err := durable.ReadFile(path)
	if err != nil {
		return nil, layout.Fleet{}, &exitError{exitConfig, err}
	}
	l, fleet, err := layoutfile.Read(path, bytes.NewReader(text))
	if err != nil {
		return nil, layout.Fleet{}, &exitError{exitConfig, err}
	}
	return l, fleet, nil
}

// readValidLayout reads a layout file and checks the layout against its fleet. A layout that can be read but is invalid
// is returned together with the error.
func readValidLayout(path string) (*layout.Layout, layout.Fleet, error) {
	l, fleet, err := readLayout(path)
	if err != nil {
		return nil, fleet, err
	}
	if err := l.Check(fleet); err != nil {
		return l, fleet, &exitError{exitConfig, fmt.Errorf("%s: %w", path, err)}
	}
	return l, fleet, nil
}

type layoutCheck struct {
	outputFormat
	File string `arg:"" help:"A layout that conforms to deploy/layout.xsd."`
}

// Run reads the file and checks the layout against its fleet.
func (c layoutCheck) Run(e environment) error {
	l, fleet, err := readValidLayout(c.File)
	if !c.JSON {
		if err != nil {
			return err
		}
		fmt.Fprintf(e.stdout, "%s: in order: epoch %d, %s, %d searchers, %d replicas\n",
			c.File, l.Epoch(), describeSegments(l), len(fleet.Zones), fleet.Replicas)
		return nil
	}
	type fault struct {
		Line    int    `json:"line,omitempty"`
		Element string `json:"element,omitempty"`
		Text    string `json:"text"`
	}
	out := struct {
		File     string         `json:"file"`
		OK       bool           `json:"ok"`
		Epoch    layout.Epoch   `json:"epoch,omitempty"`
		Segments map[string]int `json:"segments,omitempty"`
		Faults   []fault        `json:"faults,omitempty"`
	}{File: c.File, OK: err == nil}
	if l != nil {
		out.Epoch, out.Segments = l.Epoch(), segmentCounts(l)
	}
	for _, f := range joinedErrors(err) {
		var position layoutfile.Fault
		errors.As(f, &position)
		out.Faults = append(out.Faults, fault{position.Line, position.Element, f.Error()})
	}
	if printErr := c.print(e.stdout, out); printErr != nil {
		return printErr
	}
	return err
}

// joinedErrors returns the errors that err joins, or err alone.
func joinedErrors(err error) (out []error) {
	if err == nil {
		return nil
	}
	for current := err; current != nil; current = errors.Unwrap(current) {
		if joined, ok := current.(interface{ Unwrap() []error }); ok {
			return joined.Unwrap()
		}
	}
	return []error{err}
}

// segmentCounts returns the number of segments by state.
func segmentCounts(l *layout.Layout) map[string]int {
	n := make(map[string]int)
	for s := range l.Segments() {
		n[s.State.String()]++
	}
	return n
}

// describeSegments formats the number of segments by state.
func describeSegments(l *layout.Layout) string {
	n := segmentCounts(l)
	return fmt.Sprintf("%d segments serving, %d preparing, %d retiring", n["serving"], n["preparing"], n["retiring"])
}

type layoutDiff struct {
	outputFormat
	Old string `arg:"" help:"The first layout."`
	New string `arg:"" help:"The second layout."`
}

// Run prints the differences, one per line.
func (c layoutDiff) Run(e environment) error {
	old, _, err := readLayout(c.Old)
	if err != nil {
		return err
	}
	next, _, err := readLayout(c.New)
	if err != nil {
		return err
	}
	differences := layout.Diff(old, next)
	if c.JSON {
		type difference struct {
			Kind    string           `json:"kind"`
			Segment layout.SegmentID `json:"segment"`
			Text    string           `json:"text"`
		}
		out := []difference{}
		for _, d := range differences {
			out = append(out, difference{d.Kind.String(), d.ID, d.String()})
		}
		return c.print(e.stdout, out)
	}
	fmt.Fprintf(e.stdout, "epoch %d to %d: %d differences\n", old.Epoch(), next.Epoch(), len(differences))
	for _, d := range differences {
		fmt.Fprintln(e.stdout, d)
	}
	return nil
}

type layoutPlan struct {
	outputFormat
	File   string  `arg:"" help:"The layout."`
	Loads  string  `arg:"" help:"A CSV file with the columns segment, parts per second, median key, share of the load below it."`
	Target float64 `default:"50" help:"Target load of a segment in parts per second."`
}

// Run proposes changes. It sets the planner's Windows to 1, because the file holds the loads of a single window.
func (c layoutPlan) Run(e environment) error {
	l, fleet, err := readLayout(c.File)
	if err != nil {
		return err
	}
	loads, err := readLoads(c.Loads, l)
	if err != nil {
		return &exitError{exitConfig, err}
	}
	p, err := reshard.NewPlanner(reshard.PlannerLimits{Target: c.Target, Windows: 1})
	if err != nil {
		return &exitError{exitConfig, err}
	}
	proposals := p.Window(time.Time{}, l, fleet, loads)
	if c.JSON {
		out := admin.Submission{Epoch: l.Epoch(), Changes: []admin.Change{}}
		for _, proposal := range proposals {
			out.Changes = append(out.Changes, admin.NewChange(proposal.Change, proposal.Reason))
		}
		return c.print(e.stdout, out)
	}
	if len(proposals) == 0 {
		fmt.Fprintln(e.stdout, "nothing to change")
		return nil
	}
	table := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "change\tholders\twhy")
	for _, proposal := range proposals {
		fmt.Fprintf(table, "%v\t%v\t%s\n", proposal.Change, proposal.Change.Holders, proposal.Reason)
	}
	return table.Flush()
}

// readLoads reads the load of each segment from a CSV file.
func readLoads(path string, l *layout.Layout) (map[layout.SegmentID]reshard.Load, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r := csv.NewReader(f)
	r.FieldsPerRecord, r.Comment, r.TrimLeadingSpace = 4, '#', true
	loads := make(map[layout.SegmentID]reshard.Load)
	for {
		row, err := r.Read()
		if err == io.EOF {
			return loads, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		line, _ := r.FieldPos(0)
		id, err := strconv.ParseUint(row[0], 10, 32)
		if err != nil || l.Segment(layout.SegmentID(id)) == nil {
			return nil, fmt.Errorf("%s:%d: found segment %q, want one of the layout", path, line, row[0])
		}
		rate, err := strconv.ParseFloat(row[1], 64)
		if err != nil || !(rate >= 0) {
			return nil, fmt.Errorf("%s:%d: found %q parts a second, want a number from 0 on", path, line, row[1])
		}
		below, err := strconv.ParseFloat(row[3], 64)
		if err != nil || !(below >= 0 && below <= 1) {
			return nil, fmt.Errorf("%s:%d: found share %q, want a number from 0 to 1", path, line, row[3])
		}
		loads[layout.SegmentID(id)] = reshard.Load{PerSecond: rate, Median: layout.Key(row[2]), Below: below}
	}
}
