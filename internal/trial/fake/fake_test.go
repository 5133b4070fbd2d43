package fake

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

func sendFrame(c net.Conn, body string) {
	_, _ = c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...))
}

func receiveFrame(t *testing.T, c net.Conn) string {
	t.Helper()
	letter, payload, err := ReadFrame(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(letter) + payload
}

func newDeployment(t *testing.T) *Deployment {
	t.Helper()
	d, err := NewDeployment(DeploymentOptions{Seed: 7, ServiceTime: time.Millisecond})
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

func TestSearcherAnswersCall(t *testing.T) {
	d := newDeployment(t)
	c := dial(t, d.Searchers[0].Addr())
	sendFrame(c, "qt.0 0 d=100 5\ntotalt.1 1 d=100 4\nfind")
	first, second := receiveFrame(t, c), receiveFrame(t, c)
	if both := first + second; !strings.Contains(both, "at.0 served") || !strings.Contains(both, "at.1 served") {
		t.Errorf("got %q and %q", first, second)
	}
	sendFrame(c, "qt.0.b 0 d=100,from=1+2,whole=1 4\nfind") // shard 0 did not answer the first step
	if got := receiveFrame(t, c); !strings.HasPrefix(got, "at.0.b broke") {
		t.Errorf("second step at a shard without an answer in the first: %q", got)
	}
	sendFrame(c, "p")
	if got := receiveFrame(t, c); got != "pserved" {
		t.Errorf("probe: %q", got)
	}
	if n := d.Searchers[0].Counts(); n.Calls != 2 || n.Parts != 3 || n.Served != 2 || n.Broke != 1 {
		t.Errorf("counts %+v", n)
	}
}

func TestMalformedFramesCloseConnection(t *testing.T) {
	d := newDeployment(t)
	for _, body := range []string{"z", "qt.0 0 d=100 99\nfind", "qt.0 x d=100 4\nfind", "qt.0 0 d=0 4\nfind", "qt.0 0 odd 4\nfind"} {
		c := dial(t, d.Searchers[0].Addr())
		sendFrame(c, body)
		if got := receiveFrame(t, c); !strings.HasPrefix(got, "e") {
			t.Errorf("%q: got %q", body, got)
		}
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("%q: the connection stays open: %v", body, err)
		}
	}
}

func TestRepeatedReservationIsMadeOnceAtAnyHolder(t *testing.T) {
	d := newDeployment(t)
	var answers []string
	for i, s := range []int{0, 4, 8} { // the holders of segment 0
		c := dial(t, d.Searchers[s].Addr())
		sendFrame(c, fmt.Sprintf("qt%d.0 0 d=100,k=key 7\nreserve", i))
		_, value, _ := strings.Cut(receiveFrame(t, c), "\n")
		answers = append(answers, value)
	}
	if answers[0] != answers[1] || answers[1] != answers[2] {
		t.Errorf("got %q", answers)
	}
	runs, dropped := d.Catalogue.Runs()
	if len(runs) != 3 || runs[0].Repeat || !runs[1].Repeat || !runs[2].Repeat || dropped != 0 || len(d.Catalogue.DuplicateReservations()) != 0 {
		t.Errorf("runs %+v", runs)
	}
}

// Guards against an audit that misses a key under which two reservations were made, here
// because its repeat window had ended.
func TestDoubledReservationIsReported(t *testing.T) {
	s := NewSharedCatalogue(SharedCatalogueOptions{Segments: 1, RepeatWindow: time.Nanosecond})
	for range 2 {
		s.Handle("s", Part{ID: "t.0", Key: "key", Text: "reserve"})
	}
	if got := s.DuplicateReservations(); len(got) != 1 || got[0] != "0/key" {
		t.Errorf("got %v", got)
	}
}

func TestDrainingSearcherSkipsParts(t *testing.T) {
	d := newDeployment(t)
	c := dial(t, d.Searchers[0].Addr())
	d.Searchers[0].Drain()
	sendFrame(c, "qt.0 0 d=100 4\nfind")
	if got := receiveFrame(t, c); !strings.HasPrefix(got, "at.0 skipped") {
		t.Errorf("got %q", got)
	}
	if n := d.Searchers[0].Counts(); n.AfterDrain != 1 {
		t.Errorf("counts %+v", n)
	}
}

func TestDiscoverySendsChanges(t *testing.T) {
	d := newDeployment(t)
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
	d.Discovery.Publish(Member{ID: "s-00", Phase: Gone})
	read(`{"revision":2,"complete":false,"members":[{"id":"s-00",`)
}
