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
		Doc:   "A layout: which segments there are, the keys of each, and who holds them. See docs/layout.md.",
		Order: []string{"layout", "searcher", "segment", "holder", "next", "prev", "of", "was", "heir"},
		Elements: map[string]xmlform.Element{
			"layout": {Doc: "one epoch", Attributes: []xmlform.Attribute{
				{Name: "epoch", Kind: xmlform.Count, Required: true, Doc: "the layout's number"},
				{Name: "next", Kind: xmlform.Number, Required: true, Doc: "the number that the next new segment gets; numbers are never used again"},
				{Name: "replicas", Kind: xmlform.Count, Required: true, Min: 1, Max: maxReplicas, Doc: "holders that each serving segment needs"},
			}, Children: []xmlform.Child{{Name: "searcher"}, {Name: "segment", Min: 1}, {Name: "was"}}},
			"searcher": {Doc: "a searcher of the fleet", Attributes: []xmlform.Attribute{
				{Name: "id", Kind: xmlform.Name, Required: true, Doc: "its id in discovery"},
				{Name: "zone", Kind: xmlform.Name, Required: true, Doc: "its data centre"},
			}},
			"segment": {Doc: "the keys from 'from', included, to 'to', excluded", Attributes: []xmlform.Attribute{
				{Name: "id", Kind: xmlform.Number, Required: true, Doc: "its number"},
				{Name: "from", Kind: xmlform.Text, Doc: "its first key; absent means from the first of all"},
				{Name: "to", Kind: xmlform.Text, Doc: "the first key that is no longer in it; absent means up to the last"},
				{Name: "state", Kind: xmlform.Choice, Values: []string{"preparing", "serving", "retiring"}, Default: "serving", Doc: "what it is for"},
			}, Children: []xmlform.Child{{Name: "holder", Min: 1}, {Name: "next"}, {Name: "prev"}, {Name: "of"}}},
			"holder": {Doc: "holds the segment", Attributes: searcher},
			"next":   {Doc: "is being filled to take the holders' place", Attributes: searcher},
			"prev":   {Doc: "held it before, and still answers queries of older epochs", Attributes: searcher},
			"of":     {Doc: "of a preparing segment: one whose keys it takes over", Attributes: []xmlform.Attribute{segment}},
			"was": {Doc: "what became of a segment that serves no more", Attributes: []xmlform.Attribute{
				segment, {Name: "since", Kind: xmlform.Count, Required: true, Doc: "the epoch from which on it serves no more"},
			}, Children: []xmlform.Child{{Name: "heir", Min: 1}}},
			"heir": {Doc: "took over keys of it", Attributes: []xmlform.Attribute{
				segment, {Name: "share", Kind: xmlform.Share, Required: true, Doc: "the part of its weight that fell to the heir"},
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
