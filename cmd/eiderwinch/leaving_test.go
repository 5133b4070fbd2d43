package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"eiderwinch/internal/trial/fake"
	"eiderwinch/internal/trial/testpeer"
)

// recordingSearcher is a searcher that counts its parts and records when the last one arrived.
type recordingSearcher struct {
	*testpeer.Searcher
	id string

	mu    sync.Mutex
	parts int
	last  time.Time
}

// newRecordingSearcher starts a searcher that answers each part after hold.
func newRecordingSearcher(t *testing.T, id string, delay time.Duration) *recordingSearcher {
	r := &recordingSearcher{Searcher: testpeer.NewSearcher(t), id: id}
	go func() {
		for p := range r.Parts {
			r.mu.Lock()
			r.parts, r.last = r.parts+1, time.Now()
			r.mu.Unlock()
			time.AfterFunc(delay, func() { p.Answer("served", 1, "v") })
		}
	}()
	return r
}

// seen returns the number of parts received so far, and when the last one arrived.
func (r *recordingSearcher) seen() (int, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.parts, r.last
}

// member returns the searcher's entry in the member list.
func (r *recordingSearcher) member(phase string) fake.Member {
	return fake.Member{ID: r.id, Addr: r.Addr, Zone: "a", Phase: phase, Size: 1}
}

// sendQueries sends a gatherer one query after another with pauses in between, until the gatherer is gone or stop is
// closed.
func sendQueries(t *testing.T, addr, name string, pause time.Duration, stop <-chan struct{}) {
	c, answer := testpeer.NewClient(t, addr), make([]byte, 1<<12)
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		_ = c.SetDeadline(time.Now().Add(testpeer.Timeout))
		if _, err := c.Write([]byte(testpeer.Query("search", fmt.Sprint(name, ".", i), time.Second, 1))); err != nil {
			return
		}
		if _, err := c.Read(answer); err != nil {
			return
		}
	}
}

// Several gatherers follow one discovery service, whose watches fail in different ways. No gatherer may send anything to a
// leaving searcher later than 500 ms after the update about it takes effect. The update takes effect when discovery
// publishes it, or, after a silence, when discovery responds again, or when a new process starts. If open watches fall
// silent, it takes effect after 6 s.
func TestNoSendsToLeavingSearcherUnderDiscoveryFaults(t *testing.T) {
	const gatherers, clients, grace = 3, 3, 500 * time.Millisecond
	path := buildProgram(t)
	d, err := fake.NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Close() })
	// This searcher answers each part after 10 ms, so that the other one gets parts meanwhile. Of two idle searchers, the
	// one that was faster in the first calls gets nearly all parts: on a busy machine the other got 7 of 11,578 in 19 s.
	staying := newRecordingSearcher(t, "stays", 10*time.Millisecond)
	d.Publish(staying.member(fake.Ready))
	var running []*program
	var stop chan struct{}
	begin := func(known []byte) {
		stop = make(chan struct{})
		running = nil
		var members struct{ Members []json.RawMessage }
		if err := json.Unmarshal(known, &members); err != nil {
			t.Fatal(err)
		}
		list, _ := json.Marshal(members.Members)
		for i := range gatherers {
			text := fmt.Sprintf(configText, d.Addr(), strings.Trim(string(list), "[]"), strings.Replace(settingsText, "{", `{"balancers":350,`, 1))
			p := launch(t, path, text)
			_, addr, _ := strings.Cut(p.waitForLog(t, "msg=serving"), "addr=")
			addr, _, _ = strings.Cut(addr, " ")
			running = append(running, p)
			for k := range clients {
				// The pauses differ, so that parts of different clients do not share a call.
				go sendQueries(t, addr, fmt.Sprint(i, ".", k), time.Duration(5+4*k)*time.Millisecond, stop)
			}
		}
	}
	end := func() {
		close(stop)
		for _, p := range running {
			_ = p.Process.Kill()
		}
	}
	begin(d.List())
	defer func() { end() }()
	for i, c := range []struct {
		name  string
		fault func(leave func()) (effective time.Time)
	}{
		{"no fault", func(leave func()) time.Time { leave(); return time.Now() }},
		{"a reset", func(leave func()) time.Time { d.ResetConns(); leave(); return time.Now() }},
		{"a silence, after a reset", func(leave func()) time.Time {
			d.PauseResponses()
			d.ResetConns()
			time.Sleep(1300 * time.Millisecond)
			leave()
			d.ResumeResponses()
			return time.Now()
		}},
		{"lists over several lines", func(leave func()) time.Time { d.Indent(); leave(); return time.Now() }},
		{"watches that fall silent", func(leave func()) time.Time {
			d.MuteOpenWatches()
			effective := time.Now().Add(6 * time.Second)
			leave()
			return effective
		}},
		{"a start from an old list", func(leave func()) time.Time {
			old := d.List()
			end()
			leave()
			effective := time.Now()
			begin(old)
			return effective
		}},
	} {
		leaving := newRecordingSearcher(t, fmt.Sprint("leaves", i), 0)
		d.Publish(leaving.member(fake.Ready))
		testpeer.WaitUntil(t, c.name+": parts before the update", func() bool { n, _ := leaving.seen(); return n > 20 })
		effective := c.fault(func() { d.Publish(leaving.member(fake.Terminating)) })
		time.Sleep(time.Until(effective.Add(grace)))
		n, _ := leaving.seen()
		servedBefore, _ := staying.seen()
		testpeer.WaitUntil(t, c.name+": service after the update", func() bool { m, _ := staying.seen(); return m > servedBefore+20 })
		if m, last := leaving.seen(); m > n {
			t.Errorf("%s: %d parts later than %v after the update took effect, the last after %v", c.name, m-n, grace, last.Sub(effective))
		}
	}
}

// A deployment of 1,024 gatherers and 1,024 searchers is within all size bounds: those of the known member list, of an
// indented list from discovery and of the settings. The gatherer stays within 64 MB of memory.
func TestFleetOfAThousandFitsAllBounds(t *testing.T) {
	const size = 1024
	s := testpeer.NewSearcher(t)
	d, err := fake.NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Close() })
	d.Indent()
	var members []fake.Member
	for i := range size {
		m := fake.Member{ID: fmt.Sprintf("s-%08x", i), Addr: fmt.Sprintf("127.0.0.1:%d", 1+i%1000), Zone: "zone-with-a-long-name", Kind: "standard", Cell: i, Phase: fake.Ready, Size: 1}
		if i == size-1 {
			m.Addr = s.Addr
		}
		members = append(members, m)
	}
	d.Publish(members...)
	var known struct{ Members []json.RawMessage }
	if err := json.Unmarshal(d.List(), &known); err != nil {
		t.Fatal(err)
	}
	list, _ := json.Marshal(known.Members)
	settings := strings.NewReplacer(`"places":1`, fmt.Sprint(`"places":`, size), `"shards":4`, fmt.Sprint(`"shards":`, size),
		`{"membership_mode"`, fmt.Sprintf(`{"balancers":%d,"my_number":%d,"membership_mode"`, size, size-1)).Replace(settingsText)
	path, began := buildProgram(t), time.Now()
	p := launch(t, path, fmt.Sprintf(configText, d.Addr(), strings.Trim(string(list), "[]"), settings))
	line := p.waitForLog(t, "msg=serving")
	if !strings.Contains(line, fmt.Sprint("searchers=", size, " gatherers=", size)) {
		t.Errorf("have %s", line)
	}
	_, addr, _ := strings.Cut(line, "addr=")
	addr, _, _ = strings.Cut(addr, " ")
	testpeer.WaitUntil(t, "the member list", func() bool {
		_ = p.Process.Signal(syscall.SIGUSR1)
		return strings.Contains(p.waitForLog(t, "msg=counters"), "discovery.updates=2 ")
	})
	t.Logf("member list received after %v", time.Since(began))
	query := strings.NewReplacer(`"tablet":0`, fmt.Sprint(`"tablet":`, size-1), "Content-Length: 62", "Content-Length: 65").Replace(
		testpeer.Query("search", "t", time.Minute, 1))
	body := query[strings.Index(query, "\r\n\r\n")+4:]
	head := query[:strings.Index(query, "Content-Length")]
	c := testpeer.NewClient(t, addr).Send(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body))
	testpeer.Receive(t, s.Parts, "a part").Answer("served", 1, "v")
	if resp, _ := c.ReadResponse(); resp.StatusCode != 200 {
		t.Errorf("have %s", resp.Status)
	}
	if rss := residentKB(t, p.Process.Pid); rss > 64<<10 {
		t.Errorf("%d KB resident, want at most 64 MB", rss)
	} else {
		t.Logf("%d KB resident", rss)
	}
}

// residentKB returns the resident memory of a process in KB.
func residentKB(t *testing.T, pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	field := strings.Fields(rest)
	n, err := strconv.Atoi(field[0])
	if err != nil {
		t.Fatal(err)
	}
	return n
}
