package layoutfile

import (
	"encoding/xml"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"unicode/utf8"

	"eiderwinch/internal/layout"
)

// The form of a layout file for encoding/xml.
type (
	fileXML struct {
		XMLName   xml.Name      `xml:"urn:eiderwinch:layout:1 layout"`
		Epoch     uint64        `xml:"epoch,attr"`
		Next      uint32        `xml:"next,attr"`
		Replicas  int           `xml:"replicas,attr"`
		Searchers []searcherXML `xml:"searcher"`
		Segments  []segmentXML  `xml:"segment"`
		Lineages  []lineageXML  `xml:"was"`
	}
	searcherXML struct {
		ID   string `xml:"id,attr"`
		Zone string `xml:"zone,attr"`
	}
	segmentXML struct {
		ID      uint32           `xml:"id,attr"`
		From    string           `xml:"from,attr,omitempty"`
		To      string           `xml:"to,attr,omitempty"`
		State   string           `xml:"state,attr"`
		Holders []searcherRefXML `xml:"holder"`
		Next    []searcherRefXML `xml:"next"`
		Prev    []searcherRefXML `xml:"prev"`
		Of      []segmentRefXML  `xml:"of"`
	}
	searcherRefXML struct {
		Searcher string `xml:"searcher,attr"`
	}
	segmentRefXML struct {
		Segment uint32 `xml:"segment,attr"`
	}
	lineageXML struct {
		Segment    uint32         `xml:"segment,attr"`
		Since      uint64         `xml:"since,attr"`
		Successors []successorXML `xml:"heir"`
	}
	successorXML struct {
		Segment uint32 `xml:"segment,attr"`
		Share   string `xml:"share,attr"`
	}
)

// Write writes a layout and its fleet so that Read returns the same layout and fleet.
// The same layout and fleet always give the same text.
func Write(w io.Writer, l *layout.Layout, f layout.Fleet) error {
	out := fileXML{Epoch: uint64(l.Epoch()), Next: uint32(l.NextID()), Replicas: max(f.Replicas, 1)}
	for _, id := range slices.Sorted(maps.Keys(f.Zones)) {
		out.Searchers = append(out.Searchers, searcherXML{id, f.Zones[id]})
	}
	refs := func(list []string) (out []searcherRefXML) {
		for _, s := range list {
			out = append(out, searcherRefXML{s})
		}
		return out
	}
	for s := range l.Segments() {
		for _, k := range [...]layout.Key{s.Keys.From, s.Keys.To} {
			if !writable(string(k)) {
				return fmt.Errorf("segment %d: key %q can't be written in XML", s.ID, string(k))
			}
		}
		x := segmentXML{
			ID: uint32(s.ID), From: string(s.Keys.From), To: string(s.Keys.To), State: s.State.String(),
			Holders: refs(s.Holders), Next: refs(s.Next), Prev: refs(s.Prev),
		}
		for _, id := range s.Parents {
			x.Of = append(x.Of, segmentRefXML{uint32(id)})
		}
		out.Segments = append(out.Segments, x)
	}
	for lineage := range l.Lineages() {
		x := lineageXML{Segment: uint32(lineage.From), Since: uint64(lineage.Since)}
		for _, successor := range lineage.Successors {
			x.Successors = append(x.Successors, successorXML{uint32(successor.Segment), strconv.FormatFloat(successor.Weight, 'g', -1, 64)})
		}
		out.Lineages = append(out.Lineages, x)
	}
	if _, err := io.WriteString(w, xml.Header); err != nil {
		return err
	}
	e := xml.NewEncoder(w)
	e.Indent("", "  ")
	if err := e.Encode(out); err != nil {
		return err
	}
	_, err := io.WriteString(w, "\n")
	return err
}

// writable reports whether an XML attribute can represent a string unchanged (XML 1.0,
// production 2). Carriage returns are valid XML characters, but they are rejected too
// since reading normalizes them in attributes.
func writable(s string) bool {
	for _, r := range s {
		if r < 0x20 && r != '\t' && r != '\n' || r == utf8.RuneError || r == 0xFFFE || r == 0xFFFF {
			return false
		}
	}
	return true
}
