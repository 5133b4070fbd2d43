package gatherer

import "time"

const (
	// minClockStep is the least change of the wall clock relative to the monotonic clock that counts as a step.
	// Slewing shifts it by far less between two updates of the member list.
	minClockStep = 200 * time.Millisecond
	// maxListDelay bounds the time from a searcher's start until discovery reports it.
	maxListDelay = 10 * time.Second
)

// startTimes converts the start times of searchers, which are reported as Unix times, to the monotonic clock.
// If the wall clock is stepped while the process runs, the Unix time of a start no longer shows how long ago it was.
type startTimes struct {
	wallClock    func(now time.Time) time.Time // returns the wall clock's reading at now
	origin       time.Time
	drift        time.Duration // of the wall clock relative to the monotonic clock since origin
	steppedAt    time.Time     // when the last step was detected; zero if none was
	coldDuration time.Duration
}

func newStartTimes(origin time.Time, coldDuration time.Duration) startTimes {
	return startTimes{wallClock: func(now time.Time) time.Time { return now.Round(0) }, origin: origin, coldDuration: coldDuration}
}

// detectClockStep records whether the wall clock was stepped since the last call.
func (s *startTimes) detectClockStep(now time.Time) {
	drift := s.wallClock(now).Sub(s.wallClock(s.origin)) - now.Sub(s.origin)
	if (drift - s.drift).Abs() >= minClockStep {
		s.steppedAt = now
	}
	s.drift = drift
}

// toMonotonic converts the start time reported at now for a searcher; the result is not later than now. A start
// time that was reported before keeps its earlier result. One that is reported soon after a clock step may lie
// before or after the step, so the searcher counts as started just now: a searcher that is taken for colder than
// it is only receives less load.
func (s *startTimes) toMonotonic(now, reported time.Time, known member) time.Time {
	switch {
	case reported.IsZero():
		return time.Time{}
	case reported.Equal(known.reportedStart):
		return known.startedAt
	case !s.steppedAt.IsZero() && now.Sub(s.steppedAt) < s.coldDuration+maxListDelay:
		return now
	}
	since := reported.Sub(s.wallClock(s.origin))
	if s.drift.Abs() >= minClockStep {
		since -= s.drift
	}
	if started := s.origin.Add(since); started.Before(now) {
		return started
	}
	return now
}
