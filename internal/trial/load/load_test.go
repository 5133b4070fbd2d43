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

// Queries are asked whether earlier ones are answered or not, and the wait counts
// from when each was to be asked.
func TestAStallIsNotHidden(t *testing.T) {
	const first = 20
	var asked atomic.Int32
	opened := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if asked.Add(1) == first {
			close(opened) // all before wait for this one: a client that waited for them would never ask it
		}
		<-opened
		_, _ = w.Write([]byte(`{"full":true}`))
	}))
	defer s.Close()
	o := Options{Addr: strings.TrimPrefix(s.URL, "http://"), Rate: 200, Duration: 500 * time.Millisecond, Segments: 6, Classes: Usual(), Seed: 1}
	reports, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	n, slow := 0, time.Duration(0)
	for _, r := range reports {
		n += r.Whole
		slow = max(slow, r.Quantile(1))
		if r.Asked != r.Whole || r.Unasked > 0 {
			t.Errorf("%s: %d asked, %d whole, %d not asked", r.Class, r.Asked, r.Whole, r.Unasked)
		}
	}
	// 20 queries at 200 a second: the first waited some 0.1 s.
	if n < first || slow < 20*time.Millisecond {
		t.Errorf("%d answers, the slowest after %v", n, slow)
	}
}

func TestOutcomesAndTheBoundAreCounted(t *testing.T) {
	var n atomic.Int32
	hold := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch n.Add(1) {
		case 1:
			_, _ = w.Write([]byte(`{"full":false}`))
		case 2:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 3:
			w.WriteHeader(http.StatusBadGateway)
		default:
			<-hold
		}
	}))
	defer s.Close()
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		for n.Load() < 4 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond) // more come, and find no room
		stop()
		close(hold)
	}()
	reports, err := Run(ctx, Options{Addr: strings.TrimPrefix(s.URL, "http://"), Rate: 500, Duration: time.Hour, Segments: 4, Open: 1,
		Classes: []Class{{Name: "search", Share: 1, Parts: 4, Ask: "find x"}}, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	if r := reports[0]; r.Partial < 1 || r.Refused != 1 || r.Failed < 1 || r.Unasked == 0 {
		t.Errorf("have %+v", r)
	}
	if _, err := Run(ctx, Options{Rate: 1, Duration: 1, Segments: 3, Classes: Usual()}); err == nil {
		t.Error("six parts of three segments were taken")
	}
}
