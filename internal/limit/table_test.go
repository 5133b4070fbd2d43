package limit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"eiderwinch/internal/trial/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

var start = time.Unix(1_000_000, 0)

// modelConn is a connection as the reference model knows it.
type modelConn struct {
	entry                        *Entry[int]
	stage                        Stage
	answered                     int
	opened, since                time.Time
	requestBegunAt, closingSince time.Time // when the further request began; when the stage became Closing
}

// model drives a table and is its reference: it applies the same rules by a linear
// search through all connections.
type model struct {
	table     *Table[int]
	now       time.Time
	bounds    Bounds
	conns     []*modelConn // in the order in which they entered their stage
	nextOwner int
}

func (m *model) idle() (n int) {
	for _, p := range m.conns {
		if p.stage == Idle {
			n++
		}
	}
	return n
}

func (m *model) rank(p *modelConn) Rank {
	age := m.now.Sub(p.since)
	switch {
	case p.stage == Closing:
		return RankClosing
	case p.stage == Silent && age >= m.bounds.SilentGrace:
		return RankSilent
	case p.stage == Idle && p.answered <= 1 && age >= m.bounds.IdleGrace:
		return RankIdleOnce
	case p.stage == Idle && age >= m.bounds.IdleGrace:
		return RankIdleReused
	case p.stage == Idle && p.answered <= 1:
		return RankIdleOnceRecent
	case p.stage == Idle:
		return RankIdleReusedRecent
	case p.stage == Silent:
		return RankSilentRecent
	case p.stage == FirstRequest:
		return RankFirstRequest
	}
	return RankNewest
}

func (m *model) victim(newest *modelConn) (*modelConn, Rank) {
	best, at := newest, RankNewest
	for _, p := range m.conns {
		if r := m.rank(p); p != newest && r < at {
			best, at = p, r
		}
	}
	return best, at
}

func (m *model) enter() *modelConn {
	p := &modelConn{entry: &Entry[int]{Owner: m.nextOwner}, opened: m.now, since: m.now}
	m.nextOwner++
	m.conns = append(m.conns, p)
	m.table.Add(m.now, p.entry)
	return p
}

func (m *model) leave(p *modelConn) {
	m.table.Remove(p.entry)
	m.table.Remove(p.entry) // a second call does nothing
	m.conns = slices.DeleteFunc(m.conns, func(x *modelConn) bool { return x == p })
}

func (m *model) move(p *modelConn, to Stage) {
	m.table.SetStage(m.now, p.entry, to)
	if p.stage == to {
		return
	}
	if p.stage == Busy && to == Idle {
		p.answered++
	}
	p.stage, p.since = to, m.now
	switch to {
	case NextRequest:
		p.requestBegunAt = m.now
	case Closing:
		p.closingSince = m.now
	}
	m.conns = append(slices.DeleteFunc(m.conns, func(x *modelConn) bool { return x == p }), p)
}

func (m *model) overdue(p *modelConn) bool {
	switch p.stage {
	case Silent, FirstRequest:
		return m.now.Sub(p.opened) >= m.bounds.RequestTimeout
	case NextRequest:
		return m.now.Sub(p.requestBegunAt) >= m.bounds.RequestTimeout
	case Closing:
		return m.now.Sub(p.closingSince) >= m.bounds.CloseTimeout
	}
	return false
}

func (m *model) surplus(p *modelConn) bool {
	return m.idle() >= m.bounds.Soft && p.stage == Idle && m.now.Sub(p.since) >= m.bounds.IdleGrace
}

// validMoves lists the stages that can follow each stage.
var validMoves = map[Stage][]Stage{
	Silent:       {FirstRequest, Busy, Closing},
	FirstRequest: {Busy, Closing},
	Busy:         {Idle, Closing},
	Idle:         {Busy, NextRequest, Closing},
	NextRequest:  {Busy, Idle, Closing},
	Closing:      {Closing},
}

// TestTableMatchesReferenceModel makes random moves of random connections and checks that the table decides as the
// linear search of the model does.
func TestTableMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bounds{
			Soft: rapid.IntRange(1, 4).Draw(t, "soft"), Hard: rapid.IntRange(1, 12).Draw(t, "hard"),
			SilentGrace: 500 * time.Millisecond, IdleGrace: 2 * time.Second, RequestTimeout: 2 * time.Second, CloseTimeout: time.Second,
		}
		b.Firm = b.Soft + rapid.IntRange(0, 4).Draw(t, "firm")
		m := &model{table: New[int](b), bounds: b, now: start}
		pick := func(t *rapid.T) *modelConn {
			if len(m.conns) == 0 {
				t.Skip("no connection")
			}
			return rapid.SampledFrom(m.conns).Draw(t, "connection")
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
			},
			"enter": func(t *rapid.T) {
				newest := m.enter()
				if m.table.OverLimit() != (len(m.conns) > b.Hard) {
					t.Fatalf("OverLimit is %v with %d connections of at most %d", m.table.OverLimit(), len(m.conns), b.Hard)
				}
				if !m.table.OverLimit() {
					return
				}
				want, rank := m.victim(newest)
				have, got := m.table.Victim(m.now, newest.entry, func(*Entry[int]) bool { return false })
				if have != want.entry || got != rank {
					t.Fatalf("Victim returned connection %d (%v), want %d (%v)", have.Owner, got, want.entry.Owner, rank)
				}
				m.leave(want)
			},
			"move": func(t *rapid.T) {
				p := pick(t)
				m.move(p, rapid.SampledFrom(validMoves[p.stage]).Draw(t, "to"))
			},
			"leave": func(t *rapid.T) { m.leave(pick(t)) },
			"expire": func(t *rapid.T) {
				for s := m.table.Overdue(m.now); s != nil; s = m.table.Overdue(m.now) {
					i := slices.IndexFunc(m.conns, func(p *modelConn) bool { return p.entry == s })
					if !m.overdue(m.conns[i]) {
						t.Fatalf("Overdue returned connection %d, which is not overdue", s.Owner)
					}
					m.leave(m.conns[i])
				}
				if i := slices.IndexFunc(m.conns, m.overdue); i >= 0 {
					t.Fatalf("Overdue did not return connection %d, which is overdue", m.conns[i].entry.Owner)
				}
				for s := m.table.SurplusIdle(m.now); s != nil; s = m.table.SurplusIdle(m.now) {
					i := slices.IndexFunc(m.conns, func(p *modelConn) bool { return p.entry == s })
					if !m.surplus(m.conns[i]) {
						t.Fatalf("SurplusIdle returned connection %d, which need not be closed", s.Owner)
					}
					m.move(m.conns[i], Closing)
				}
				if i := slices.IndexFunc(m.conns, m.surplus); i >= 0 {
					t.Fatalf("SurplusIdle did not return connection %d, which is to be closed", m.conns[i].entry.Owner)
				}
				if due := m.table.Due(); !due.IsZero() && !due.After(m.now) {
					t.Fatalf("Due is %v, which is in the past", due)
				}
			},
			"": func(t *rapid.T) {
				counts := make(map[Stage]int)
				for _, p := range m.conns {
					counts[p.stage]++
					if p.entry.Stage() != p.stage || p.entry.Answered() != p.answered || !p.entry.InTable() {
						t.Fatalf("connection %d is %v with %d requests answered, in the table: %v; want %v with %d, in the table",
							p.entry.Owner, p.entry.Stage(), p.entry.Answered(), p.entry.InTable(), p.stage, p.answered)
					}
					idle := m.idle()
					shouldClose := idle >= b.Firm || idle >= b.Soft && p.answered == 0
					if m.table.ShouldClose(p.entry) != shouldClose {
						t.Fatalf("ShouldClose of connection %d is %v with %d idle, want %v", p.entry.Owner, !shouldClose, idle, shouldClose)
					}
				}
				for s := range numStages {
					if m.table.Count(s) != counts[s] {
						t.Fatalf("%d connections are %v, want %d", m.table.Count(s), s, counts[s])
					}
				}
				if m.table.Len() != len(m.conns) {
					t.Fatalf("%d connections are held, want %d", m.table.Len(), len(m.conns))
				}
			},
		})
	})
}

// newModelOfRanks returns a model with one connection of each rank except
// RankNewest, and a Busy one, and the connections by rank.
func newModelOfRanks(t *testing.T) (*model, map[Rank]*modelConn) {
	t.Helper()
	m := &model{bounds: Defaults(1024), now: start}
	m.table = New[int](m.bounds)
	at := make(map[Rank]*modelConn)
	answer := func(p *modelConn, times int) {
		for range times {
			m.move(p, Busy)
			m.move(p, Idle)
		}
	}
	for _, r := range []Rank{RankSilent, RankIdleOnce, RankIdleReused} {
		at[r] = m.enter()
	}
	answer(at[RankIdleOnce], 1)
	answer(at[RankIdleReused], 2)
	m.now = m.now.Add(m.bounds.IdleGrace)
	for _, r := range []Rank{RankClosing, RankIdleOnceRecent, RankIdleReusedRecent, RankSilentRecent, RankFirstRequest} {
		at[r] = m.enter()
	}
	m.move(at[RankClosing], Closing)
	answer(at[RankIdleOnceRecent], 1)
	answer(at[RankIdleReusedRecent], 2)
	m.move(at[RankFirstRequest], FirstRequest)
	m.move(m.enter(), Busy)
	return m, at
}

func TestRanksAreEvictedInOrder(t *testing.T) {
	m, at := newModelOfRanks(t)
	newest := m.enter()
	at[RankNewest] = newest
	for r := RankClosing; r < NumRanks; r++ {
		s, got := m.table.Victim(m.now, newest.entry, func(*Entry[int]) bool { return false })
		if got != r || s != at[r].entry {
			t.Fatalf("Victim returned rank %v, want %v", got, r)
		}
		m.leave(at[r])
	}
}

// A request that was received but not read yet would be lost if its connection were closed.
func TestConnectionWithUnreadBytesIsNotEvicted(t *testing.T) {
	m, at := newModelOfRanks(t)
	newest := m.enter()
	m.leave(at[RankClosing])
	considered := make(map[*Entry[int]]int)
	skip := func(s *Entry[int]) bool {
		considered[s]++
		return s != at[RankFirstRequest].entry
	}
	if s, r := m.table.Victim(m.now, newest.entry, skip); s != at[RankFirstRequest].entry || r != RankFirstRequest {
		t.Errorf("Victim returned rank %v, want first", r)
	}
	for r := RankSilent; r < RankFirstRequest; r++ {
		if considered[at[r].entry] == 0 {
			t.Errorf("the connection of rank %v was not considered", r)
		}
	}
	skipAll := func(*Entry[int]) bool { return true }
	if s, r := m.table.Victim(m.now, newest.entry, skipAll); s != newest.entry || r != RankNewest {
		t.Errorf("with all connections skipped: rank %v, want newest", r)
	}
	// Only a few connections of each rank are considered, because each one costs a system call.
	for range 100 {
		m.enter()
	}
	calls := 0
	m.table.Victim(m.now, newest.entry, func(*Entry[int]) bool { calls++; return true })
	if calls > int(NumRanks)*maxCandidates {
		t.Errorf("%d connections were considered, want at most %d", calls, int(NumRanks)*maxCandidates)
	}
}

func TestDefaultsLeaveRoomForRequests(t *testing.T) {
	for _, descriptors := range []int{1, 2, 16, 224, 352, 992, 100_000} {
		b := Defaults(descriptors)
		third := max(descriptors/3, 1)
		if b.Soft < 1 || b.Firm < b.Soft || b.Hard < 1 || b.Firm > third || b.Hard > max(descriptors*3/4, 1) {
			t.Errorf("%d descriptors: %+v, want 1 <= Soft <= Firm <= a third and 1 <= Hard <= three quarters", descriptors, b)
		}
	}
}

func ExampleTable_ShouldClose() {
	t := New[string](Bounds{Soft: 1, Firm: 2, Hard: 10})
	now := time.Unix(0, 0)
	answer := func(s *Entry[string]) {
		t.SetStage(now, s, Busy)
		end := t.ShouldClose(s)
		fmt.Println(s.Owner, "ends with its answer:", end)
		if t.SetStage(now, s, Idle); end {
			t.SetStage(now, s, Closing)
		}
	}
	a, b := &Entry[string]{Owner: "a"}, &Entry[string]{Owner: "b"}
	t.Add(now, a)
	t.Add(now, b)
	answer(a)
	answer(b) // one connection is idle already
	answer(a) // its second request
	// Output:
	// a ends with its answer: false
	// b ends with its answer: true
	// a ends with its answer: false
}

func BenchmarkEvict(b *testing.B) {
	for _, held := range []int{200, 50_000} {
		b.Run(fmt.Sprint(held), func(b *testing.B) {
			t, now := New[int](Bounds{Soft: 1, Firm: 1, Hard: held}), start
			for range held {
				t.Add(now, new(Entry[int]))
			}
			for b.Loop() {
				s := new(Entry[int])
				t.Add(now, s)
				v, _ := t.Victim(now, s, func(*Entry[int]) bool { return false })
				t.Remove(v)
			}
		})
	}
}
