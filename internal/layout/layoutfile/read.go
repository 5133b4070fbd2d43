// Package layoutfile reads and writes layout files: XML according to
// deploy/layout.xsd. Reading reports all faults of a file at once, each with its line,
// its element, what was found and what is wanted. The package opens no files itself.
package layoutfile

import (
	"fmt"
	"io"

	"eiderwinch/internal/format/xmlform"
	"eiderwinch/internal/layout"
)

// Namespace is the XML namespace of layout files.
const Namespace = "urn:eiderwinch:layout:1"

// maxReplicas bounds the replicas attribute of a layout.
const maxReplicas = 1 << 16

// Form returns the form of layout files, from which deploy/layout.xsd is generated.
func Form() *xmlform.Form {
	searcher := []xmlform.Attribute{{Name: "searcher", Kind: xmlform.Name, Required: true, Doc: "the searcher's id"}}
	segment := xmlform.Attribute{Name: "segment", Kind: xmlform.Number, Required: true, Doc: "the segment's number"}
	return &xmlform.Form{
		Namespace: Namespace, Root: "layout", Depth: 3,
		Doc:   "A layout: the segments of the catalogue, the keys of each, and the searchers that hold it. See docs/layout.md.",
		Order: []string{"layout", "searcher", "segment", "holder", "next", "prev", "of", "was", "heir"},
		Elements: map[string]xmlform.Element{
			"layout": {Doc: "one epoch of the layout", Attributes: []xmlform.Attribute{
				{Name: "epoch", Kind: xmlform.Count, Required: true, Doc: "number of the epoch"},
				{Name: "next", Kind: xmlform.Number, Required: true, Doc: "number of the next new segment; numbers are never reused"},
				{Name: "replicas", Kind: xmlform.Count, Required: true, Min: 1, Max: maxReplicas, Doc: "number of holders that each serving segment needs"},
			}, Children: []xmlform.Child{{Name: "searcher"}, {Name: "segment", Min: 1}, {Name: "was"}}},
			"searcher": {Doc: "a searcher of the fleet", Attributes: []xmlform.Attribute{
				{Name: "id", Kind: xmlform.Name, Required: true, Doc: "its id in discovery"},
				{Name: "zone", Kind: xmlform.Name, Required: true, Doc: "its data centre"},
			}},
			"segment": {Doc: "a range of keys, from 'from' (inclusive) to 'to' (exclusive)", Attributes: []xmlform.Attribute{
				{Name: "id", Kind: xmlform.Number, Required: true, Doc: "its number"},
				{Name: "from", Kind: xmlform.Text, Doc: "its first key; if absent, the range has no lower bound"},
				{Name: "to", Kind: xmlform.Text, Doc: "the first key after it; if absent, the range has no upper bound"},
				{Name: "state", Kind: xmlform.Choice, Values: []string{"preparing", "serving", "retiring"}, Default: "serving", Doc: "its stage of life: preparing is being filled, serving answers queries, retiring has been replaced and still answers queries of older epochs"},
			}, Children: []xmlform.Child{{Name: "holder", Min: 1}, {Name: "next"}, {Name: "prev"}, {Name: "of"}}},
			"holder": {Doc: "a searcher that holds the segment", Attributes: searcher},
			"next":   {Doc: "a searcher that is being filled to replace the holders", Attributes: searcher},
			"prev":   {Doc: "a previous holder, which still answers queries of older epochs", Attributes: searcher},
			"of":     {Doc: "a segment whose keys this preparing segment takes over", Attributes: []xmlform.Attribute{segment}},
			"was": {Doc: "the lineage of a segment that no longer serves", Attributes: []xmlform.Attribute{
				segment, {Name: "since", Kind: xmlform.Count, Required: true, Doc: "first epoch in which it does not serve"},
			}, Children: []xmlform.Child{{Name: "heir", Min: 1}}},
			"heir": {Doc: "a successor, which took over keys of it", Attributes: []xmlform.Attribute{
				segment, {Name: "share", Kind: xmlform.Share, Required: true, Doc: "fraction of its weight that this successor took over"},
			}},
		},
	}
}

// Fault is one fault in a layout file.
type Fault = xmlform.Fault

// Read reads a layout file from r. The file name is used in messages only. The error
// joins all faults of the file, each a Fault.
func Read(file string, r io.Reader) (*layout.Layout, layout.Fleet, error) {
	faults := &xmlform.Faults{File: file}
	root := Form().Read(r, faults)
	if root == nil {
		return nil, layout.Fleet{}, faults.Err()
	}
	fleet := layout.Fleet{Zones: make(map[string]string), Replicas: int(root.Number("replicas"))}
	var segments []layout.Segment
	var lineages []layout.Lineage
	segmentLines, lineageLines := make(map[layout.SegmentID]int), make(map[layout.SegmentID]int)
	checkUnique := func(lineOf map[layout.SegmentID]int, n *xmlform.Node, id layout.SegmentID) {
		if !n.Valid {
			return
		}
		if line, ok := lineOf[id]; ok {
			faults.Add(n.Line, n.Name, fmt.Sprintf("segment %d, already defined on line %d", id, line), "a unique number")
		}
		lineOf[id] = n.Line
	}
	for _, n := range root.Children {
		switch n.Name {
		case "searcher":
			id := n.Text("id")
			if _, exists := fleet.Zones[id]; exists && n.Valid {
				faults.Add(n.Line, n.Name, fmt.Sprintf("searcher %q twice", id), "one")
			}
			fleet.Zones[id] = n.Text("zone")
		case "segment":
			s := parseSegment(n)
			checkUnique(segmentLines, n, s.ID)
			segments = append(segments, s)
		case "was":
			lineage := parseLineage(n)
			checkUnique(lineageLines, n, lineage.From)
			lineages = append(lineages, lineage)
		}
	}
	if err := faults.Err(); err != nil {
		return nil, layout.Fleet{}, err
	}
	l, err := layout.Restore(layout.Epoch(root.Number("epoch")), layout.SegmentID(root.Number("next")), segments, lineages)
	if err != nil {
		faults.Add(1, "layout", err.Error(), "a layout in which each key has one serving segment")
		return nil, layout.Fleet{}, faults.Err()
	}
	return l, fleet, nil
}

// parseSegment converts a segment element.
func parseSegment(n *xmlform.Node) layout.Segment {
	s := layout.Segment{
		ID: layout.SegmentID(n.Number("id")), Keys: layout.Range{From: layout.Key(n.Text("from")), To: layout.Key(n.Text("to"))},
	}
	s.State, _ = layout.ParseState(n.Text("state")) // the form allows no other values
	for _, c := range n.Children {
		switch c.Name {
		case "holder":
			s.Holders = append(s.Holders, c.Text("searcher"))
		case "next":
			s.Next = append(s.Next, c.Text("searcher"))
		case "prev":
			s.Prev = append(s.Prev, c.Text("searcher"))
		case "of":
			s.Parents = append(s.Parents, layout.SegmentID(c.Number("segment")))
		}
	}
	return s
}

// parseLineage converts a was element, the lineage of a replaced segment.
func parseLineage(n *xmlform.Node) layout.Lineage {
	lineage := layout.Lineage{From: layout.SegmentID(n.Number("segment")), Since: layout.Epoch(n.Number("since"))}
	for _, c := range n.Children {
		lineage.Successors = append(lineage.Successors, layout.Successor{Segment: layout.SegmentID(c.Number("segment")), Weight: c.Float("share")})
	}
	return lineage
}
