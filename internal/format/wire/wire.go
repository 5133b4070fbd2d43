// Package wire translates between the text lines of the simulator and the events
// and actions of package eiderwinch. It makes no decisions.
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

// flagRepeat is the bit of an order's flags that marks a repeat by the client.
const flagRepeat = 2

// maxInventorySlot is the highest slot in which a member list may be stored.
const maxInventorySlot = 15

// MessageBatch is one batch of messages from the simulator: the clock and the input of
// each instance, in the order in which the instances were first named.
type MessageBatch struct {
	Clock  time.Duration
	Inputs []*Input

	current *Input // of the instance that the following lines are for
}

// Input is everything that one batch holds for one instance.
type Input struct {
	Instance string
	Halted   bool                 // the aggregator that ran before is discarded
	Init     *eiderwinch.Settings // settings of an aggregator started in the batch; nil if there was none
	Events   []eiderwinch.Event   // the events since the last halt or start
}

// Reader reads batches.
type Reader struct {
	in        *bufio.Reader
	lists     map[int][]eiderwinch.Replica // member lists by inventory slot
	instances map[string]*instanceState
	line      int // number of the last line read
}

// instanceState is what the reader keeps of an instance: its indexes of names, and the
// queries whose parts are still being read.
type instanceState struct {
	classes       map[string]int          // index of each class by name
	tenants       map[string]int          // number of each tenant by name, from 1
	queries       map[int64]*pendingQuery // queries of this batch by number, until they are delivered
	order         []int64                 // numbers of the pending queries in the order of arrival
	hasSecondStep []bool                  // for each class: whether its queries have a second step
	secondSteps   map[int64]secondStep    // queries that may still get a second step, by number
	highest       int64                   // highest query number received so far
}

// pendingQuery is a query whose parts are still being read. For the parts of a second
// step only the ID and the parts of the query are set.
type pendingQuery struct {
	eiderwinch.Query
	second bool
}

// secondStep is a query that may get a second step until its deadline.
type secondStep struct {
	id       uint64
	deadline time.Duration // clock time
}

// NewReader returns a Reader of the simulator's lines.
func NewReader(in io.Reader) *Reader {
	return &Reader{
		in:        bufio.NewReaderSize(in, 1<<20),
		lists:     make(map[int][]eiderwinch.Replica),
		instances: make(map[string]*instanceState),
	}
}

// Next returns the next batch, or io.EOF at the end of the input.
func (r *Reader) Next() (MessageBatch, error) {
	f, err := r.readFields()
	if err != nil {
		return MessageBatch{}, err
	}
	if f[0] != "clock" || len(f) < 2 {
		return MessageBatch{}, r.errorf("message %q at the start of a batch, want clock and a time", f[0])
	}
	clock, err := strconv.ParseInt(f[1], 10, 64)
	if err != nil {
		return MessageBatch{}, r.errorf("malformed clock %q, want an integer", f[1])
	}
	b := MessageBatch{Clock: time.Duration(clock)}
	for {
		f, err := r.readFields()
		if err == io.EOF {
			return MessageBatch{}, r.errorf("input ends inside a batch, want flush")
		}
		if err != nil {
			return MessageBatch{}, err
		}
		if f[0] == "flush" {
			r.finish(&b)
			return b, nil
		}
		if err := r.readMessage(&b, f); err != nil {
			return MessageBatch{}, r.errorf("%s: %v", f[0], err)
		}
	}
}

// errorf returns an error that names the current line.
func (r *Reader) errorf(format string, args ...any) error {
	return fmt.Errorf("line %d: %s", r.line, fmt.Sprintf(format, args...))
}

// readFields reads one line and returns its fields.
func (r *Reader) readFields() ([]string, error) {
	s, err := r.in.ReadString('\n')
	if err == io.EOF && s != "" {
		r.line++
		return nil, r.errorf("truncated line, want a line feed at its end")
	}
	if err != nil {
		return nil, err
	}
	r.line++
	return strings.Split(strings.TrimRight(s, "\r\n"), "\t"), nil
}

// readMessage adds one message to a batch. The entries that follow an inventory message
// are read with it.
func (r *Reader) readMessage(b *MessageBatch, f []string) error {
	p := &parser{fields: f}
	switch f[0] {
	case "for":
		name := p.text(1)
		if p.err == nil {
			r.selectInstance(b, name)
		}
		return p.err
	case "inventory":
		return r.readInventory(p)
	}
	in := b.current
	if in == nil {
		return fmt.Errorf("no instance selected, want a for message first")
	}
	if f[0] == "init" {
		return r.readInit(in, p)
	}
	s := r.instances[in.Instance]
	if s == nil {
		return fmt.Errorf("instance %s was not started", in.Instance)
	}
	switch f[0] {
	case "halt":
		delete(r.instances, in.Instance)
		in.Halted, in.Init, in.Events = true, nil, nil
		return nil
	case "order":
		return s.readOrder(b.Clock, p)
	case "message", "first", "status_back":
		return nil // ignored: these are never requested
	}
	r.deliverQueries(in, s)
	switch f[0] {
	case "backends_changed":
		return r.readListChange(in, p)
	case "ring":
		p.int(1)
		in.Events = append(in.Events, eiderwinch.Woken{})
	case "dropped":
		in.Events = append(in.Events, eiderwinch.Gone{Query: p.id(1)})
	case "attempt_end":
		in.Events = append(in.Events, eiderwinch.Outcome{
			Part:    p.id(1),
			Attempt: int(p.int(2)),
			Replica: p.text(3),
			Status:  p.status(4),
			Took:    time.Duration(p.int(5)),
			Load:    parseLoad(p.optional(7)),
		})
	default:
		return fmt.Errorf("unknown message")
	}
	return p.err
}

// parseLoad parses a load report: name:value pairs separated by commas. Unknown names and
// impossible values are skipped. It returns nil if there is no usable value.
func parseLoad(report string) *eiderwinch.Load {
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

// selectInstance makes the named instance the one that the following lines are for.
func (r *Reader) selectInstance(b *MessageBatch, name string) {
	for _, in := range b.Inputs {
		if in.Instance == name {
			b.current = in
			return
		}
	}
	b.current = &Input{Instance: name}
	b.Inputs = append(b.Inputs, b.current)
}

// finish delivers the pending queries of all instances at the end of a batch.
func (r *Reader) finish(b *MessageBatch) {
	for _, in := range b.Inputs {
		if s := r.instances[in.Instance]; s != nil {
			r.deliverQueries(in, s)
		}
	}
}

// deliverQueries adds the pending queries and second steps to the events. It runs before
// any other event is added and at the end of the batch, so events keep their order.
func (r *Reader) deliverQueries(in *Input, s *instanceState) {
	for _, number := range s.order {
		if q := s.queries[number]; q.second {
			in.Events = append(in.Events, eiderwinch.SecondStep{Query: q.ID, Parts: q.Parts})
		} else {
			in.Events = append(in.Events, q.Query)
		}
		delete(s.queries, number)
	}
	s.order = s.order[:0]
}

// readInit starts an instance. Its earlier state and the events so far are discarded.
func (r *Reader) readInit(in *Input, p *parser) error {
	seed := p.id(1)
	text := p.rest(2)
	if p.err != nil {
		return p.err
	}
	settings, err := ParseSettings([]byte(text))
	if err != nil {
		return err
	}
	settings.Seed = seed
	s := &instanceState{
		classes:     make(map[string]int),
		tenants:     make(map[string]int),
		queries:     make(map[int64]*pendingQuery),
		secondSteps: make(map[int64]secondStep),
		highest:     -1,
	}
	for i, t := range settings.Tenants {
		s.tenants[t.Name] = i + 1
	}
	for i, c := range settings.Classes {
		s.classes[c.Name] = i
		s.hasSecondStep = append(s.hasSecondStep, c.SecondStepParts > 0)
	}
	r.instances[in.Instance] = s
	in.Events = nil
	in.Init = &settings
	return nil
}

// readInventory reads a member list and its entries, one on each of the following lines,
// and stores it in its slot.
func (r *Reader) readInventory(p *parser) error {
	slot, count := p.int(1), p.int(2)
	if p.err != nil {
		return p.err
	}
	if slot < 0 || slot > maxInventorySlot || count < 0 {
		return fmt.Errorf("slot %d with %d entries, want a slot from 0 to 15 and 0 or more entries", slot, count)
	}
	var list []eiderwinch.Replica
	for i := int64(0); i < count; i++ {
		f, err := r.readFields()
		if err != nil {
			return fmt.Errorf("entry %d: %v", i, err)
		}
		if f[0] != "m" {
			return fmt.Errorf("entry %d: message %q, want m", i, f[0])
		}
		e := &parser{fields: f}
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

// readListChange reads a change of the member list. Its entries are those of the
// inventory slot that it names.
func (r *Reader) readListChange(in *Input, p *parser) error {
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
			return fmt.Errorf("no inventory in slot %s", p.text(2))
		}
		change.Replicas = list
	}
	in.Events = append(in.Events, change)
	return nil
}

// readOrder reads a query (the shard is negative) or one part of a query. The parts of a
// second step come in a later batch under the number of their query. Parts of a query
// that has ended are ignored.
func (s *instanceState) readOrder(clock time.Duration, p *parser) error {
	id, class, key := p.id(1), p.text(2), p.optional(4)
	left, number, shard, weight, flags := p.int(5), p.int(7), p.int(8), p.float(9), p.intOr(10, 0)
	if p.err != nil {
		return p.err
	}
	index, ok := s.classes[class]
	if !ok {
		return fmt.Errorf("unknown class %q", class)
	}
	if shard < 0 {
		s.order = append(s.order, number)
		s.queries[number] = &pendingQuery{Query: eiderwinch.Query{
			ID: id, Class: index, Key: key, Left: time.Duration(left), Repeat: flags&flagRepeat != 0,
			Tenant: s.tenants[p.optional(3)],
		}}
		s.highest = max(s.highest, number)
		if s.hasSecondStep[index] {
			maps.DeleteFunc(s.secondSteps, func(_ int64, step secondStep) bool { return step.deadline < clock })
			s.secondSteps[number] = secondStep{id, clock + time.Duration(left)}
		}
		return nil
	}
	q := s.queries[number]
	if step, ok := s.secondSteps[number]; q == nil && ok {
		delete(s.secondSteps, number)
		q = &pendingQuery{Query: eiderwinch.Query{ID: step.id}, second: true}
		s.order = append(s.order, number)
		s.queries[number] = q
	}
	if q != nil {
		q.Parts = append(q.Parts, eiderwinch.Part{ID: id, Shard: int(shard), Weight: weight})
	} else if number > s.highest {
		return fmt.Errorf("part %d arrived without its query", id)
	}
	return nil
}

// parser parses the fields of one line and keeps the first error.
type parser struct {
	fields []string
	err    error
}

// optional returns a field, or "" if it is absent or "-".
func (p *parser) optional(i int) string {
	if i >= len(p.fields) || p.fields[i] == "-" {
		return ""
	}
	return p.fields[i]
}

// text returns a field that must not be empty.
func (p *parser) text(i int) string {
	s := p.optional(i)
	if s == "" {
		p.fail("field %d is missing", i)
	}
	return s
}

// rest returns the rest of the line from a field on.
func (p *parser) rest(i int) string {
	if i >= len(p.fields) {
		p.fail("field %d is missing", i)
		return ""
	}
	return strings.Join(p.fields[i:], "\t")
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
		p.fail("field %d is %q, want an integer", i, s)
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
		p.fail("field %d is %q, want an unsigned integer", i, s)
	}
	return v
}

func (p *parser) float(i int) float64 {
	s := p.text(i)
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		p.fail("field %d is %q, want a finite number", i, s)
	}
	return v
}

func (p *parser) status(i int) eiderwinch.Status {
	s := p.text(i)
	v, ok := statuses[s]
	if !ok {
		p.fail("unknown attempt status %q", s)
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

// statuses maps the names that the simulator uses for attempt statuses.
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

// ParseSettings parses the settings with which an instance is started.
func ParseSettings(text []byte) (eiderwinch.Settings, error) {
	s, err := config.ParseSettings(text)
	return s.Module, err
}

// Writer writes replies.
type Writer struct{ out *bufio.Writer }

// NewWriter returns a Writer of replies.
func NewWriter(out io.Writer) *Writer { return &Writer{bufio.NewWriterSize(out, 1<<16)} }

// WriteActions writes the actions of one instance.
func (w *Writer) WriteActions(instance string, actions []eiderwinch.Action) {
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

// EndReply ends the reply to a batch and flushes it.
func (w *Writer) EndReply() error {
	fmt.Fprintln(w.out, "next")
	return w.out.Flush()
}
