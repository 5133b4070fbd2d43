package gatherer

import "time"

const (
	// stepLeast is the least change of the wall clock against the monotonic one that is taken for a step;
	// slewing stays far below it between two lists.
	stepLeast = 200 * time.Millisecond
	// listDelay is how much later than it happens a start may be told.
	listDelay = 10 * time.Second
)

// starts places the starts of searchers, which are told as Unix times, on the monotonic clock. The wall clock
// may be stepped while the process runs; how long ago a start was is then not known from its Unix time.
type starts struct {
	wall    func(now time.Time) time.Time // the wall clock's reading at now
	begin   time.Time
	drift   time.Duration // of the wall clock against the monotonic one since begin
	stepped time.Time     // when the last step was noticed; zero if none was
	coldFor time.Duration
}

func newStarts(begin time.Time, coldFor time.Duration) starts {
	return starts{wall: func(now time.Time) time.Time { return now.Round(0) }, begin: begin, coldFor: coldFor}
}

// look notices whether the wall clock was stepped.
func (s *starts) look(now time.Time) {
	drift := s.wall(now).Sub(s.wall(s.begin)) - now.Sub(s.begin)
	if (drift - s.drift).Abs() >= stepLeast {
		s.stepped = now
	}
	s.drift = drift
}

// place returns when a start was, as told at now: not later than that. A start that was told before stays where
// it was placed. One that is told soon after a step may have been before it or after, and counts as just now:
// a searcher that is taken for colder than it is only gets less.
func (s *starts) place(now, reported time.Time, known member) time.Time {
	switch {
	case reported.IsZero():
		return time.Time{}
	case reported.Equal(known.reported):
		return known.started
	case !s.stepped.IsZero() && now.Sub(s.stepped) < s.coldFor+listDelay:
		return now
	}
	since := reported.Sub(s.wall(s.begin))
	if s.drift.Abs() >= stepLeast {
		since -= s.drift
	}
	if started := s.begin.Add(since); started.Before(now) {
		return started
	}
	return now
}
