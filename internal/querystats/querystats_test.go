package querystats

import (
	"testing"
	"time"
)

// Since returns only seconds that are over, at most MaxWindows of them, even if the clock
// was set back.
func TestWindowsAreClosedAndBounded(t *testing.T) {
	r := New([]string{"search", "reserve"})
	at := time.Unix(1000, 0)
	r.Record(at, 0, Whole, 10*time.Millisecond)
	r.Record(at.Add(900*time.Millisecond), 0, Refused, 0)
	r.Record(at.Add(-time.Second), 1, Failed, time.Second) // the clock was set back
	if w := r.Since(at.Add(950*time.Millisecond), 0); len(w) > 0 {
		t.Errorf("the current second is returned: %v", w)
	}
	w := r.Since(at.Add(time.Second), 0)
	if len(w) != 1 || w[0].Second != 1000 || w[0].Classes[0].Whole != 1 || w[0].Classes[0].Refused != 1 || w[0].Classes[1].Failed != 1 ||
		len(w[0].Classes[0].Times) != 1 || len(w[0].Classes[1].Times) != 0 {
		t.Errorf("got %+v, want one window of second 1000 with a whole answer, a refusal and a failure", w)
	}
	for i := range 2 * MaxWindows {
		r.Record(at.Add(time.Duration(i+1)*time.Second), 0, Partial, time.Hour)
	}
	end := at.Add(time.Duration(2*MaxWindows+1) * time.Second)
	if w := r.Since(end, 0); len(w) != MaxWindows || w[MaxWindows-1].Second != end.Unix()-1 {
		t.Errorf("%d windows are kept, want %d that end with second %d", len(w), MaxWindows, end.Unix()-1)
	}
	if w := r.Since(end, end.Unix()-3); len(w) != 2 {
		t.Errorf("windows after second %d: %v, want two", end.Unix()-3, w)
	}
}

func TestSumOfWindowsKeepsQuantiles(t *testing.T) {
	a, b, sum := New([]string{"x"}), New([]string{"x"}), NewTotals()
	at := time.Unix(5, 0)
	for i := range 1000 {
		r := a
		if i%2 == 0 {
			r = b
		}
		r.Record(at, 0, Whole, time.Duration(i+1)*time.Millisecond)
	}
	for _, r := range []*Recorder{a, b} {
		for _, w := range r.Since(at.Add(time.Second), 0) {
			sum.Add(w.Classes[0])
		}
	}
	if p := sum.Quantile(0.99); sum.AnswerCount() != 1000 || sum.Whole != 1000 || p < 980*time.Millisecond || p > 1000*time.Millisecond {
		t.Errorf("%d answers, p99 %v; want 1000 answers and a p99 of 980ms to 1s", sum.AnswerCount(), p)
	}
	if sum.Reset(); sum.AnswerCount() != 0 || sum.Whole != 0 {
		t.Error("Reset left counts behind")
	}
}

func TestBucketRoundingIsBounded(t *testing.T) {
	for us := int64(1); us < 60_000_000; us += 1 + us/97 {
		if b := bucketUpperBound(us); b < us || float64(b-us) > float64(us)/128 || bucketUpperBound(b) != b {
			t.Fatalf("the bucket of %d µs has upper bound %d, want at most 1/128 more, and the same bucket for both", us, b)
		}
	}
}
