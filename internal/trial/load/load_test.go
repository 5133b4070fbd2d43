package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against coordinated omission: the server answers nothing until the 20th query
// has arrived. Queries must be sent although earlier ones are unanswered, and the stall must
// show in the latencies, which count from the planned send times.
func TestStallIsCountedInLatency(t *testing.T) {
	const releaseAt = 20
	var received atomic.Int32
	released := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if received.Add(1) == releaseAt {
			close(released) // the earlier queries wait for this one: a client that waits for their answers never sends it
		}
		<-released
		_, _ = w.Write([]byte(`{"full":true}`))
	}))
	defer s.Close()
	o := Options{Addr: strings.TrimPrefix(s.URL, "http://"), Rate: 200, Duration: 500 * time.Millisecond, Segments: 6, Classes: DefaultClasses(), Seed: 1}
	reports, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	answers, slowest := 0, time.Duration(0)
	for _, r := range reports {
		answers += r.Whole
		slowest = max(slowest, r.Quantile(1))
		if r.Asked != r.Whole || r.NotSent > 0 {
			t.Errorf("%s: %d sent, %d whole, %d not sent", r.Class, r.Asked, r.Whole, r.NotSent)
		}
	}
	// 20 queries at 200 per second: the first one waits for about 0.1 s.
	if answers < releaseAt || slowest < 20*time.Millisecond {
		t.Errorf("%d answers, the slowest after %v", answers, slowest)
	}
}

// Guards against outcomes counted under the wrong name, and against queries above
// Options.Open that are sent or not counted.
func TestOutcomesAndUnsentQueriesAreCounted(t *testing.T) {
	var received atomic.Int32
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch received.Add(1) {
		case 1:
			_, _ = w.Write([]byte(`{"full":false}`))
		case 2:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 3:
			w.WriteHeader(http.StatusBadGateway)
		default:
			<-release
		}
	}))
	defer s.Close()
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		for received.Load() < 4 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond) // further queries come due, while the limit is reached
		stop()
		close(release)
	}()
	reports, err := Run(ctx, Options{Addr: strings.TrimPrefix(s.URL, "http://"), Rate: 500, Duration: time.Hour, Segments: 4, Open: 1,
		Classes: []Class{{Name: "search", Share: 1, Parts: 4, Statement: "find x"}}, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	if r := reports[0]; r.Partial < 1 || r.Refused != 1 || r.Failed < 1 || r.NotSent == 0 {
		t.Errorf("got %+v", r)
	}
	if _, err := Run(ctx, Options{Rate: 1, Duration: 1, Segments: 3, Classes: DefaultClasses()}); err == nil {
		t.Error("accepted classes with six parts on three segments")
	}
}
