package standin

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// dial connects to a searcher as a gatherer does.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

func say(c net.Conn, rest string) {
	_, _ = c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(rest))), rest...))
}

func hear(t *testing.T, c net.Conn) string {
	t.Helper()
	letter, rest, err := ReadFrame(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(letter) + rest
}

func deployment(t *testing.T) *Deployment {
	t.Helper()
	d, err := NewDeployment(DeploymentOptions{Seed: 7, Service: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := d.Close(); err != nil {
			t.Error(err)
		}
	})
	return d
}

func TestASearcherAnswersACall(t *testing.T) {
	d := deployment(t)
	c := dial(t, d.Searchers[0].Addr())
	say(c, "qt.0 0 d=100 5\ntotalt.1 1 d=100 4\nfind")
	first, second := hear(t, c), hear(t, c)
	if both := first + second; !strings.Contains(both, "at.0 served") || !strings.Contains(both, "at.1 served") {
		t.Errorf("have %q and %q", first, second)
	}
	say(c, "qt.0.b 0 d=100,from=1+2,whole=1 4\nfind") // segment 0 was not in
	if got := hear(t, c); !strings.HasPrefix(got, "at.0.b broke") {
		t.Errorf("a second step at another segment: %q", got)
	}
	say(c, "p")
	if got := hear(t, c); got != "pserved" {
		t.Errorf("probe: %q", got)
	}
	if n := d.Searchers[0].Counts(); n.Calls != 2 || n.Parts != 3 || n.Served != 2 || n.Broke != 1 {
		t.Errorf("counts %+v", n)
	}
}

func TestWhatASearcherCannotReadEndsTheConnection(t *testing.T) {
	d := deployment(t)
	for _, rest := range []string{"z", "qt.0 0 d=100 99\nfind", "qt.0 x d=100 4\nfind", "qt.0 0 d=0 4\nfind", "qt.0 0 odd 4\nfind"} {
		c := dial(t, d.Searchers[0].Addr())
		say(c, rest)
		if got := hear(t, c); !strings.HasPrefix(got, "e") {
			t.Errorf("%q: have %q", rest, got)
		}
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("%q: the connection stays: %v", rest, err)
		}
	}
}

func TestAReservationRepeatedIsMadeOnceAtAnyHolder(t *testing.T) {
	d := deployment(t)
	var answers []string
	for i, s := range []int{0, 4, 8} { // the holders of segment 0
		c := dial(t, d.Searchers[s].Addr())
		say(c, fmt.Sprintf("qt%d.0 0 d=100,k=key 7\nreserve", i))
		_, value, _ := strings.Cut(hear(t, c), "\n")
		answers = append(answers, value)
	}
	if answers[0] != answers[1] || answers[1] != answers[2] {
		t.Errorf("have %q", answers)
	}
	runs, dropped := d.Stock.Ledger()
	if len(runs) != 3 || runs[0].Repeat || !runs[1].Repeat || !runs[2].Repeat || dropped != 0 || len(d.Stock.Doubled()) != 0 {
		t.Errorf("ledger %+v", runs)
	}
}

// The audit must see a reservation that was made twice.
func TestADoubledReservationIsSeen(t *testing.T) {
	s := NewStock(StockOptions{Segments: 1, Window: time.Nanosecond})
	for range 2 {
		s.Do("s", Part{ID: "t.0", Key: "key", Text: "reserve"})
	}
	if got := s.Doubled(); len(got) != 1 || got[0] != "0/key" {
		t.Errorf("have %v", got)
	}
}

func TestADrainingSearcherSkips(t *testing.T) {
	d := deployment(t)
	c := dial(t, d.Searchers[0].Addr())
	d.Searchers[0].Drain()
	say(c, "qt.0 0 d=100 4\nfind")
	if got := hear(t, c); !strings.HasPrefix(got, "at.0 skipped") {
		t.Errorf("have %q", got)
	}
	if n := d.Searchers[0].Counts(); n.AfterDrain != 1 {
		t.Errorf("counts %+v", n)
	}
}

func TestDiscoveryTellsChanges(t *testing.T) {
	d := deployment(t)
	c := dial(t, d.Discovery.Addr())
	fmt.Fprint(c, "GET /catalog/members HTTP/1.1\r\nHost: d\r\n\r\nGET /catalog/members?watch=1&from=1 HTTP/1.1\r\nHost: d\r\n\r\n")
	var got strings.Builder
	read := func(want string) {
		t.Helper()
		b := make([]byte, 4096)
		for !strings.Contains(got.String(), want) {
			n, err := c.Read(b)
			if err != nil {
				t.Fatalf("%v before %q in %q", err, want, got.String())
			}
			got.Write(b[:n])
		}
	}
	read(`"complete":true`)
	read(`"complete":false,"members":[]}`)
	d.Discovery.Tell(Member{ID: "s-00", Phase: Gone})
	read(`{"revision":2,"complete":false,"members":[{"id":"s-00",`)
}
