package partaudit

import (
	"testing"
	"time"
)

func TestPartThatArrivesAfterItsAnswerIsReported(t *testing.T) {
	a, start := New(), time.Now()
	a.Received("t.0", "s", start)
	a.Answered("t.0", "s", start)
	a.Received("t.0", "o", start.Add(Slack))
	a.Received("t.1", "o", start.Add(time.Second))
	if answered, again := a.Counts(); answered != 1 || again != 0 {
		t.Errorf("found %d answered and %d sent again, want 1 and 0", answered, again)
	}
	a.Answered("u.0", "s", start.Add(remembered+time.Second))
	a.Received("t.0", "o", start.Add(remembered+time.Second))
	if _, again := a.Counts(); again != 1 || len(a.Violations()) != 1 {
		t.Errorf("found %d sent again, %q, want 1", again, a.Violations())
	}
}
