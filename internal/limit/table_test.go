package limit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"eiderwinch/internal/trial/steady"
)

func TestMain(m *testing.M) { steady.Main(m) }

var start = time.Unix(1_000_000, 0)

// plain is the table's rule written down once more, as a search through everything.
type plain struct {
	seat           *Seat[int]
	stage          Stage
	asked          int
	opened, since  time.Time
	begun, endedAt time.Time
}

type model struct {
	t     *Table[int]
	now   time.Time
	b     Bounds
	seats []*plain // in the order they came to their stage
	next  int
}

func (m *model) idle() (n int) {
	for _, p := range m.seats {
		if p.stage == Idle {
			n++
		}
	}
	return n
}

func (m *model) rank(p *plain) Rank {
	age := m.now.Sub(p.since)
	switch {
	case p.stage == Ending:
		return RankEnding
	case p.stage == Silent && age >= m.b.SilentFor:
		return RankMute
	case p.stage == Idle && p.asked <= 1 && age >= m.b.KeptFor:
		return RankOnce
	case p.stage == Idle && age >= m.b.KeptFor:
		return RankKept
	case p.stage == Idle && p.asked <= 1:
		return RankOnceNew
	case p.stage == Idle:
		return RankKeptNew
	case p.stage == Silent:
		return RankNew
	case p.stage == First:
		return RankFirst
	}
	return RankNewest
}

func (m *model) victim(newest *plain) (*plain, Rank) {
	best, at := newest, RankNewest
	for _, p := range m.seats {
		if r := m.rank(p); p != newest && r < at {
			best, at = p, r
		}
	}
	return best, at
}

func (m *model) enter() *plain {
	p := &plain{seat: &Seat[int]{Owner: m.next}, opened: m.now, since: m.now}
	m.next++
	m.seats = append(m.seats, p)
	m.t.Enter(m.now, p.seat)
	return p
}

func (m *model) leave(p *plain) {
	m.t.Leave(p.seat)
	m.t.Leave(p.seat) // once more does nothing
	m.seats = slices.DeleteFunc(m.seats, func(x *plain) bool { return x == p })
}

func (m *model) move(p *plain, to Stage) {
	m.t.Move(m.now, p.seat, to)
	if p.stage == to {
		return
	}
	if p.stage == Busy && to == Idle {
		p.asked++
	}
	p.stage, p.since = to, m.now
	switch to {
	case Further:
		p.begun = m.now
	case Ending:
		p.endedAt = m.now
	}
	m.seats = append(slices.DeleteFunc(m.seats, func(x *plain) bool { return x == p }), p)
}

func (m *model) overdue(p *plain) bool {
	switch p.stage {
	case Silent, First:
		return m.now.Sub(p.opened) >= m.b.Request
	case Further:
		return m.now.Sub(p.begun) >= m.b.Request
	case Ending:
		return m.now.Sub(p.endedAt) >= m.b.Linger
	}
	return false
}

func (m *model) trims(p *plain) bool {
	return m.idle() >= m.b.Soft && p.stage == Idle && m.now.Sub(p.since) >= m.b.KeptFor
}

// legal are the moves that a connection can make.
var legal = map[Stage][]Stage{
	Silent:  {First, Busy, Ending},
	First:   {Busy, Ending},
	Busy:    {Idle, Ending},
	Idle:    {Busy, Further, Ending},
	Further: {Busy, Idle, Ending},
	Ending:  {Ending},
}

// TestTableAgreesWithASearchThroughEverything drives the table with random connections.
func TestTableAgreesWithASearchThroughEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bounds{
			Soft: rapid.IntRange(1, 4).Draw(t, "soft"), Hard: rapid.IntRange(1, 12).Draw(t, "hard"),
			SilentFor: 500 * time.Millisecond, KeptFor: 2 * time.Second, Request: 2 * time.Second, Linger: time.Second,
		}
		b.Firm = b.Soft + rapid.IntRange(0, 4).Draw(t, "firm")
		m := &model{t: New[int](b), b: b, now: start}
		pick := func(t *rapid.T) *plain {
			if len(m.seats) == 0 {
				t.Skip("no connection")
			}
			return rapid.SampledFrom(m.seats).Draw(t, "connection")
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
			},
			"enter": func(t *rapid.T) {
				newest := m.enter()
				if m.t.Over() != (len(m.seats) > b.Hard) {
					t.Fatalf("over is %v with %d of %d", m.t.Over(), len(m.seats), b.Hard)
				}
				if !m.t.Over() {
					return
				}
				want, rank := m.victim(newest)
				have, got := m.t.Victim(m.now, newest.seat, func(*Seat[int]) bool { return false })
				if have != want.seat || got != rank {
					t.Fatalf("victim %d (%v), want %d (%v)", have.Owner, got, want.seat.Owner, rank)
				}
				m.leave(want)
			},
			"move": func(t *rapid.T) {
				p := pick(t)
				m.move(p, rapid.SampledFrom(legal[p.stage]).Draw(t, "to"))
			},
			"leave": func(t *rapid.T) { m.leave(pick(t)) },
			"expire": func(t *rapid.T) {
				for s := m.t.Overdue(m.now); s != nil; s = m.t.Overdue(m.now) {
					i := slices.IndexFunc(m.seats, func(p *plain) bool { return p.seat == s })
					if !m.overdue(m.seats[i]) {
						t.Fatalf("%d is not overdue", s.Owner)
					}
					m.leave(m.seats[i])
				}
				if i := slices.IndexFunc(m.seats, m.overdue); i >= 0 {
					t.Fatalf("%d is overdue and was passed over", m.seats[i].seat.Owner)
				}
				for s := m.t.Trim(m.now); s != nil; s = m.t.Trim(m.now) {
					i := slices.IndexFunc(m.seats, func(p *plain) bool { return p.seat == s })
					if !m.trims(m.seats[i]) {
						t.Fatalf("%d need not go", s.Owner)
					}
					m.move(m.seats[i], Ending)
				}
				if i := slices.IndexFunc(m.seats, m.trims); i >= 0 {
					t.Fatalf("%d should have gone", m.seats[i].seat.Owner)
				}
				if due := m.t.Due(); !due.IsZero() && !due.After(m.now) {
					t.Fatalf("due is %v, in the past", due)
				}
			},
			"": func(t *rapid.T) {
				counts := make(map[Stage]int)
				for _, p := range m.seats {
					counts[p.stage]++
					if p.seat.Stage() != p.stage || p.seat.Asked() != p.asked || !p.seat.Seated() {
						t.Fatalf("seat %d is %v after %d", p.seat.Owner, p.seat.Stage(), p.seat.Asked())
					}
					idle := m.idle()
					notice := idle >= b.Firm || idle >= b.Soft && p.asked == 0
					if m.t.Notice(p.seat) != notice {
						t.Fatalf("notice to %d is %v with %d idle", p.seat.Owner, !notice, idle)
					}
				}
				for s := range stages {
					if m.t.Count(s) != counts[s] {
						t.Fatalf("%d are %v, want %d", m.t.Count(s), s, counts[s])
					}
				}
				if m.t.Held() != len(m.seats) {
					t.Fatalf("%d are held, want %d", m.t.Held(), len(m.seats))
				}
			},
		})
	})
}

// rows fills a table with one connection of each rank, the oldest first.
func rows(t *testing.T) (*model, map[Rank]*plain) {
	t.Helper()
	m := &model{b: Defaults(1024), now: start}
	m.t = New[int](m.b)
	at := make(map[Rank]*plain)
	answer := func(p *plain, times int) {
		for range times {
			m.move(p, Busy)
			m.move(p, Idle)
		}
	}
	for _, r := range []Rank{RankMute, RankOnce, RankKept} {
		at[r] = m.enter()
	}
	answer(at[RankOnce], 1)
	answer(at[RankKept], 2)
	m.now = m.now.Add(m.b.KeptFor)
	for _, r := range []Rank{RankEnding, RankOnceNew, RankKeptNew, RankNew, RankFirst} {
		at[r] = m.enter()
	}
	m.move(at[RankEnding], Ending)
	answer(at[RankOnceNew], 1)
	answer(at[RankKeptNew], 2)
	m.move(at[RankFirst], First)
	m.move(m.enter(), Busy)
	return m, at
}

func TestRanksLoseTheirPlaceInOrder(t *testing.T) {
	m, at := rows(t)
	newest := m.enter()
	at[RankNewest] = newest
	for r := RankEnding; r < Ranks; r++ {
		s, got := m.t.Victim(m.now, newest.seat, func(*Seat[int]) bool { return false })
		if got != r || s != at[r].seat {
			t.Fatalf("have %v, want %v", got, r)
		}
		m.leave(at[r])
	}
}

func TestAConnectionWithUnreadBytesIsSpared(t *testing.T) {
	m, at := rows(t)
	newest := m.enter()
	m.leave(at[RankEnding])
	asked := make(map[*Seat[int]]int)
	spare := func(s *Seat[int]) bool {
		asked[s]++
		return s != at[RankFirst].seat
	}
	if s, r := m.t.Victim(m.now, newest.seat, spare); s != at[RankFirst].seat || r != RankFirst {
		t.Errorf("have %v", r)
	}
	for r := RankMute; r < RankFirst; r++ {
		if asked[at[r].seat] == 0 {
			t.Errorf("the %v one was not looked at", r)
		}
	}
	all := func(*Seat[int]) bool { return true }
	if s, r := m.t.Victim(m.now, newest.seat, all); s != newest.seat || r != RankNewest {
		t.Errorf("where all are spared: %v", r)
	}
	// No more than a few are asked of each rank: each costs a call to the system.
	for range 100 {
		m.enter()
	}
	looks := 0
	m.t.Victim(m.now, newest.seat, func(*Seat[int]) bool { looks++; return true })
	if looks > int(Ranks)*tries {
		t.Errorf("%d were looked at", looks)
	}
}

func TestDefaultsLeaveRoomForRequests(t *testing.T) {
	for _, descriptors := range []int{1, 2, 16, 224, 352, 992, 100_000} {
		b := Defaults(descriptors)
		third := max(descriptors/3, 1)
		if b.Soft < 1 || b.Firm < b.Soft || b.Hard < 1 || b.Firm > third || b.Hard > max(descriptors*3/4, 1) {
			t.Errorf("%d descriptors: %+v", descriptors, b)
		}
	}
}

func ExampleTable_Notice() {
	t := New[string](Bounds{Soft: 1, Firm: 2, Hard: 10})
	now := time.Unix(0, 0)
	answer := func(s *Seat[string]) {
		t.Move(now, s, Busy)
		end := t.Notice(s)
		fmt.Println(s.Owner, "ends with its answer:", end)
		if t.Move(now, s, Idle); end {
			t.Move(now, s, Ending)
		}
	}
	a, b := &Seat[string]{Owner: "a"}, &Seat[string]{Owner: "b"}
	t.Enter(now, a)
	t.Enter(now, b)
	answer(a)
	answer(b) // one is idle already
	answer(a) // it came back
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
				t.Enter(now, new(Seat[int]))
			}
			for b.Loop() {
				s := new(Seat[int])
				t.Enter(now, s)
				v, _ := t.Victim(now, s, func(*Seat[int]) bool { return false })
				t.Leave(v)
			}
		})
	}
}
