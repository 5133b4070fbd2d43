// Package wire translates between the simulator's text lines and the events
// and actions of package eiderwinch. It decides nothing.
package wire

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"math"
	"strconv"
	"strings"
	"time"

	"eiderwinch"
	"eiderwinch/internal/format/config"
)

// Batch is one batch of the simulator: the clock and, in order, the news of
// each instance.
type Batch struct {
	Clock time.Duration
	News  []*News

	current *News
}

// News is what one batch brings to one instance, in one entry. Halted tells
// that what ran before is void; Init is nil where none was started. Events
// are those since the last of both.
type News struct {
	Instance string
	Halted   bool
	Init     *eiderwinch.Settings
	Events   []eiderwinch.Event
}

// Reader reads batches.
type Reader struct {
	in    *bufio.Reader
	lists map[int][]eiderwinch.Replica
	hosts map[string]*host
	line  int
}

// host is what the wire must remember of an instance to name things by index.
type host struct {
	classes map[string]int
	tenants map[string]int      // counted from 1
	queries map[int64]*gathered // this batch's, by number, until their parts are in
	order   []int64
	steps   []bool             // of each class: its queries have a second step
	later   map[int64]awaiting // queries that may get one, by number
	highest int64              // number so far
}

// gathered is a query whose parts are coming, or, with the ID alone, its second step.
type gathered struct {
	eiderwinch.Query
	second bool
}

type awaiting struct {
	id    uint64
	until time.Duration
}

// NewReader returns a Reader of the simulator's lines.
func NewReader(in io.Reader) *Reader {
	return &Reader{
		in:    bufio.NewReaderSize(in, 1<<20),
		lists: make(map[int][]eiderwinch.Replica),
		hosts: make(map[string]*host),
	}
}

// Next returns the next batch, or io.EOF at the end of the input.
func (r *Reader) Next() (Batch, error) {
	f, err := r.fields()
	if err != nil {
		return Batch{}, err
	}
	if f[0] != "clock" || len(f) < 2 {
		return Batch{}, r.fault("want clock, have %q", f[0])
	}
	clock, err := strconv.ParseInt(f[1], 10, 64)
	if err != nil {
		return Batch{}, r.fault("bad clock %q", f[1])
	}
	b := Batch{Clock: time.Duration(clock)}
	for {
		f, err := r.fields()
		if err == io.EOF {
			return Batch{}, r.fault("input ends inside a batch")
		}
		if err != nil {
			return Batch{}, err
		}
		if f[0] == "flush" {
			r.flush(&b)
			return b, nil
		}
		if err := r.event(&b, f); err != nil {
			return Batch{}, r.fault("%s: %v", f[0], err)
		}
	}
}

func (r *Reader) fault(format string, args ...any) error {
	return fmt.Errorf("line %d: %s", r.line, fmt.Sprintf(format, args...))
}

func (r *Reader) fields() ([]string, error) {
	s, err := r.in.ReadString('\n')
	if err == io.EOF && s != "" {
		r.line++
		return nil, r.fault("cut short")
	}
	if err != nil {
		return nil, err
	}
	r.line++
	return strings.Split(strings.TrimRight(s, "\r\n"), "\t"), nil
}

// event takes in one line of a batch.
func (r *Reader) event(b *Batch, f []string) error {
	p := &parser{f: f}
	switch f[0] {
	case "for":
		who := p.text(1)
		if p.err == nil {
			r.turnTo(b, who)
		}
		return p.err
	case "inventory":
		return r.inventory(p)
	}
	n := b.current
	if n == nil {
		return fmt.Errorf("no instance was named")
	}
	if f[0] == "init" {
		return r.init(n, p)
	}
	h := r.hosts[n.Instance]
	if h == nil {
		return fmt.Errorf("instance %s was not started", n.Instance)
	}
	switch f[0] {
	case "halt":
		delete(r.hosts, n.Instance)
		n.Halted, n.Init, n.Events = true, nil, nil
		return nil
	case "order":
		return h.take(b.Clock, p)
	case "message", "first", "status_back":
		return nil // not asked for at any time
	}
	r.deliver(n, h)
	switch f[0] {
	case "backends_changed":
		return r.changed(n, p)
	case "ring":
		p.int(1)
		n.Events = append(n.Events, eiderwinch.Woken{})
	case "dropped":
		n.Events = append(n.Events, eiderwinch.Gone{Query: p.id(1)})
	case "attempt_end":
		n.Events = append(n.Events, eiderwinch.Outcome{
			Part:    p.id(1),
			Attempt: int(p.int(2)),
			Replica: p.text(3),
			Status:  p.status(4),
			Took:    time.Duration(p.int(5)),
			Load:    load(p.optional(7)),
		})
	default:
		return fmt.Errorf("unknown message")
	}
	return p.err
}

// load reads a load report, name:value pairs set apart by commas. What is not known of it
// or can't be is passed over.
func load(report string) *eiderwinch.Load {
	for report != "" {
		var pair string
		pair, report, _ = strings.Cut(report, ",")
		name, value, _ := strings.Cut(pair, ":")
		if v, err := strconv.ParseFloat(value, 64); name == "waiting" && err == nil && v >= 0 && !math.IsInf(v, 1) {
			return &eiderwinch.Load{Waiting: v}
		}
	}
	return nil
}

// turnTo makes who the instance of the lines that follow.
func (r *Reader) turnTo(b *Batch, who string) {
	for _, n := range b.News {
		if n.Instance == who {
			b.current = n
			return
		}
	}
	b.current = &News{Instance: who}
	b.News = append(b.News, b.current)
}

// flush ends a batch.
func (r *Reader) flush(b *Batch) {
	for _, n := range b.News {
		if h := r.hosts[n.Instance]; h != nil {
			r.deliver(n, h)
		}
	}
}

// deliver hands over the queries whose parts have been gathered.
func (r *Reader) deliver(n *News, h *host) {
	for _, number := range h.order {
		if q := h.queries[number]; q.second {
			n.Events = append(n.Events, eiderwinch.SecondStep{Query: q.ID, Parts: q.Parts})
		} else {
			n.Events = append(n.Events, q.Query)
		}
		delete(h.queries, number)
	}
	h.order = h.order[:0]
}

func (r *Reader) init(n *News, p *parser) error {
	seed := p.id(1)
	text := p.rest(2)
	if p.err != nil {
		return p.err
	}
	s, err := Settings([]byte(text))
	if err != nil {
		return err
	}
	s.Seed = seed
	h := &host{
		classes: make(map[string]int), tenants: make(map[string]int), queries: make(map[int64]*gathered), later: make(map[int64]awaiting), highest: -1,
	}
	for i, t := range s.Tenants {
		h.tenants[t.Name] = i + 1
	}
	for i, c := range s.Classes {
		h.classes[c.Name] = i
		h.steps = append(h.steps, c.Fetch > 0)
	}
	r.hosts[n.Instance] = h
	n.Events = nil
	n.Init = &s
	return nil
}

func (r *Reader) inventory(p *parser) error {
	slot, count := p.int(1), p.int(2)
	if p.err != nil {
		return p.err
	}
	if slot < 0 || slot > 15 || count < 0 {
		return fmt.Errorf("slot %d with %d entries", slot, count)
	}
	var list []eiderwinch.Replica
	for i := int64(0); i < count; i++ {
		f, err := r.fields()
		if err != nil {
			return fmt.Errorf("entry %d: %v", i, err)
		}
		if f[0] != "m" {
			return fmt.Errorf("want entry %d, have %q", i, f[0])
		}
		e := &parser{f: f}
		list = append(list, eiderwinch.Replica{
			ID:      e.text(1),
			Zone:    e.optional(2),
			Cell:    int(e.int(4)),
			State:   e.state(5),
			Started: time.Duration(e.intOr(7, 0)),
		})
		if e.err != nil {
			return fmt.Errorf("entry %d: %v", i, e.err)
		}
	}
	r.lists[int(slot)] = list
	return nil
}

func (r *Reader) changed(n *News, p *parser) error {
	kind := p.int(1)
	if p.err != nil {
		return p.err
	}
	kinds := []eiderwinch.ListKind{eiderwinch.Changes, eiderwinch.Whole, eiderwinch.Stale, eiderwinch.NoList}
	if kind < 0 || kind >= int64(len(kinds)) {
		return fmt.Errorf("unknown kind %d", kind)
	}
	change := eiderwinch.ListChange{Kind: kinds[kind]}
	if change.Kind != eiderwinch.NoList {
		list, ok := r.lists[int(p.int(2))]
		if p.err != nil {
			return p.err
		}
		if !ok {
			return fmt.Errorf("no inventory %s", p.text(2))
		}
		change.Replicas = list
	}
	n.Events = append(n.Events, change)
	return nil
}

// take gathers a query, or one of its parts. Parts of a second step come in a later batch, under the number of
// their query; those of a query that is over are passed over.
func (h *host) take(clock time.Duration, p *parser) error {
	id, class, key := p.id(1), p.text(2), p.optional(4)
	left, number, shard, amount, flags := p.int(5), p.int(7), p.int(8), p.float(9), p.intOr(10, 0)
	if p.err != nil {
		return p.err
	}
	index, ok := h.classes[class]
	if !ok {
		return fmt.Errorf("unknown class %q", class)
	}
	if shard < 0 {
		h.order = append(h.order, number)
		h.queries[number] = &gathered{Query: eiderwinch.Query{
			ID: id, Class: index, Key: key, Left: time.Duration(left), Repeat: flags&2 != 0,
			Tenant: h.tenants[p.optional(3)],
		}}
		h.highest = max(h.highest, number)
		if h.steps[index] {
			maps.DeleteFunc(h.later, func(_ int64, w awaiting) bool { return w.until < clock })
			h.later[number] = awaiting{id, clock + time.Duration(left)}
		}
		return nil
	}
	q := h.queries[number]
	if w, ok := h.later[number]; q == nil && ok {
		delete(h.later, number)
		q = &gathered{Query: eiderwinch.Query{ID: w.id}, second: true}
		h.order = append(h.order, number)
		h.queries[number] = q
	}
	if q != nil {
		q.Parts = append(q.Parts, eiderwinch.Part{ID: id, Shard: int(shard), Weight: amount})
	} else if number > h.highest {
		return fmt.Errorf("part %d comes without its query", id)
	}
	return nil
}

// parser reads the fields of one line and keeps the first error.
type parser struct {
	f   []string
	err error
}

func (p *parser) optional(i int) string {
	if i >= len(p.f) || p.f[i] == "-" {
		return ""
	}
	return p.f[i]
}

func (p *parser) text(i int) string {
	s := p.optional(i)
	if s == "" {
		p.fail("field %d is missing", i)
	}
	return s
}

func (p *parser) rest(i int) string {
	if i >= len(p.f) {
		p.fail("field %d is missing", i)
		return ""
	}
	return strings.Join(p.f[i:], "\t")
}

func (p *parser) fail(format string, args ...any) {
	if p.err == nil {
		p.err = fmt.Errorf(format, args...)
	}
}

func (p *parser) int(i int) int64 {
	s := p.text(i)
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		p.fail("field %d is no whole number: %q", i, s)
	}
	return v
}

func (p *parser) intOr(i int, absent int64) int64 {
	if p.optional(i) == "" {
		return absent
	}
	return p.int(i)
}

func (p *parser) id(i int) uint64 {
	s := p.text(i)
	v, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		p.fail("field %d is no id: %q", i, s)
	}
	return v
}

func (p *parser) float(i int) float64 {
	s := p.text(i)
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		p.fail("field %d is no number: %q", i, s)
	}
	return v
}

func (p *parser) status(i int) eiderwinch.Status {
	s := p.text(i)
	v, ok := statuses[s]
	if !ok {
		p.fail("unknown ending %q", s)
	}
	return v
}

func (p *parser) state(i int) eiderwinch.State {
	switch s := p.text(i); s {
	case "0":
		return eiderwinch.Removed
	case "1":
		return eiderwinch.Ready
	case "2":
		return eiderwinch.Draining
	default:
		p.fail("unknown state %q", s)
		return eiderwinch.Removed
	}
}

var statuses = map[string]eiderwinch.Status{
	"GOOD":   eiderwinch.OK,
	"BAD":    eiderwinch.Failed,
	"FULL":   eiderwinch.Full,
	"LATE":   eiderwinch.TimedOut,
	"NOCONN": eiderwinch.NoConnection,
	"RST":    eiderwinch.Reset,
	"CXL":    eiderwinch.Cancelled,
	"NOP":    eiderwinch.NotSent,
}

// Settings reads the start settings of an instance.
func Settings(text []byte) (eiderwinch.Settings, error) {
	s, err := config.ParseSettings(text)
	return s.Module, err
}

// Writer writes replies.
type Writer struct{ out *bufio.Writer }

// NewWriter returns a Writer of replies.
func NewWriter(out io.Writer) *Writer { return &Writer{bufio.NewWriterSize(out, 1<<16)} }

// Actions writes the actions of one instance.
func (w *Writer) Actions(instance string, actions []eiderwinch.Action) {
	if len(actions) == 0 {
		return
	}
	fmt.Fprintf(w.out, "from\t%s\n", instance)
	for _, a := range actions {
		switch a := a.(type) {
		case eiderwinch.Send:
			fmt.Fprintf(w.out, "hand_off\t%d\t%s\t%d\n", a.Part, a.Replica, int64(a.TimeOut))
		case eiderwinch.Cancel:
			fmt.Fprintf(w.out, "recall\t%d\t%d\n", a.Part, a.Attempt)
		case eiderwinch.Answer:
			whole := 0
			if a.Whole {
				whole = 1
			}
			fmt.Fprintf(w.out, "conclude\t%d\t%d\n", a.Query, whole)
		case eiderwinch.Refuse:
			fmt.Fprintf(w.out, "say_no\t%d\t%d\n", a.Query, int64(a.RetryAfter))
		case eiderwinch.Fail:
			fmt.Fprintf(w.out, "drop_request\t%d\n", a.Query)
		case eiderwinch.Subscribe:
			fmt.Fprintf(w.out, "listen\t1\n")
		case eiderwinch.Disconnect:
			fmt.Fprintf(w.out, "free_links\t%s\n", a.Replica)
		case eiderwinch.Wake:
			fmt.Fprintf(w.out, "schedule\t%d\t0\n", int64(a.After))
		case eiderwinch.Log:
			fmt.Fprintf(w.out, "log\t%s\n", a.Text)
		}
	}
}

// End closes the reply and sends it off.
func (w *Writer) End() error {
	fmt.Fprintln(w.out, "next")
	return w.out.Flush()
}
