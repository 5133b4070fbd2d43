package main

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["keyed"] = keyedRepeat }

// reservations is what the holders of a shard share: a reservation whose key is known is
// dropped for repeatWindow, and answered as the first one.
type reservations struct {
	trial *trial
	mu    sync.Mutex
	made  map[string]time.Time
	runs  map[string][]arrival // by shard and key
}

// run makes a reservation, unless it is a repeat.
func (r *reservations) run(p arrival) (value string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := fmt.Sprintf("%d/%s", p.shard, p.key)
	if at, ok := r.made[key]; ok && p.at.Sub(at) < repeatWindow {
		r.trial.note("%s drops %s, a repeat of key %s after %v", p.searcher, p.id, p.key, p.at.Sub(at).Round(time.Millisecond))
	} else {
		r.made[key] = p.at
		r.runs[key] = append(r.runs[key], p)
		r.trial.note("%s runs %s, key %s, run %d", p.searcher, p.id, p.key, len(r.runs[key]))
	}
	return "5be2a07c19f04d63"
}

const (
	// silence is how long the two other holders stand still; the pages name 6 s.
	silence = 3200 * time.Millisecond
	// answersLostAfter is when the connection of the first holder is reset, counted from when it has run the parts.
	answersLostAfter = 30 * time.Millisecond
	statementLength  = 60 << 10 // a request's body may have 64 KiB
)

// keyedTrial is the state of the case "keyed".
type keyedTrial struct {
	*trial
	made      *reservations
	mu        sync.Mutex
	deploy    *deployment
	firstAt   time.Time        // when the first part of the marked reservations arrived
	inWindow  map[net.Conn]int // bytes that the gatherer had written by the end of the repeat window
	sampleErr error
}

// handle answers a part. The first parts of the marked reservations run, and then their connection is reset; just
// before that the two other holders of their shard begin to stand still.
func (k *keyedTrial) handle(p arrival) reply {
	if p.key == "" {
		return reply{end: "served", value: "00"}
	}
	r := reply{end: "served", value: k.made.run(p), after: 5 * time.Millisecond}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.trouble || !strings.HasPrefix(p.key, "marked") || !k.firstAt.IsZero() && p.at.Sub(k.firstAt) > answersLostAfter {
		return r
	}
	if k.firstAt.IsZero() {
		k.firstAt = p.at
		time.AfterFunc(answersLostAfter-10*time.Millisecond, k.strike)
		time.AfterFunc(repeatWindow+100*time.Millisecond, k.sample)
	}
	r.reset, r.after = true, answersLostAfter
	return r
}

// holders returns the holders of shard 0.
func (k *keyedTrial) holders() (list []*searcher) {
	for i := 0; i < searcherCount; i += cellCount {
		list = append(list, k.deploy.searchers[i])
	}
	return list
}

// strike makes the holders stand still that have not got the marked reservations.
func (k *keyedTrial) strike() {
	for _, s := range k.holders() {
		idle := true
		for _, p := range s.received() {
			idle = idle && !strings.HasPrefix(p.key, "marked")
		}
		if idle {
			s.hang()
			time.AfterFunc(silence, s.goOn)
		}
	}
}

// sample records what the gatherer had written to the holders by now.
func (k *keyedTrial) sample() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.inWindow = make(map[net.Conn]int)
	for _, s := range k.holders() {
		bytes, err := s.written()
		if err != nil {
			k.sampleErr = err
			return
		}
		for c, n := range bytes {
			k.inWindow[c] = n
			k.note("the repeat window is over: %s has been written %d bytes on connection %v", s.id, n, c.RemoteAddr())
		}
	}
}

// verdict returns whether no reservation was sent again after its window.
func (k *keyedTrial) verdict() (held bool, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.made.mu.Lock()
	defer k.made.mu.Unlock()
	if k.trouble && k.inWindow == nil || k.sampleErr != nil {
		return false, fmt.Errorf("what the gatherer had written by the end of the window is not known: %v", k.sampleErr)
	}
	held, marked := true, 0
	for key, runs := range k.made.runs {
		if strings.Contains(key, "/marked") {
			marked++
		}
		for _, again := range runs[1:] {
			by, known := k.inWindow[again.conn]
			late := !known || by < again.endByte
			k.note("key %s ran again, at %s, %v after the first run; the last byte of its frame is byte %d, written by the end of the window: %d",
				key, again.searcher, again.at.Sub(runs[0].at).Round(time.Millisecond), again.endByte, by)
			held = held && !late // one that was written in time was only read late
		}
	}
	if marked < 4 {
		return false, errors.New("not all marked reservations were run")
	}
	return held, nil
}

// keyedRepeat sends four reservations at once, whose answers are lost. Just then their other holders stand still
// for longer than the repeat window.
func keyedRepeat(t *trial) (held bool, err error) {
	made := &reservations{trial: t, made: make(map[string]time.Time), runs: make(map[string][]arrival)}
	k := &keyedTrial{trial: t, made: made}
	d, err := newDeployment(t, true, k.handle)
	if err != nil {
		return false, err
	}
	k.deploy = d
	g, err := t.startGatherer(d, d.config(d.discovery.addr(), d.discovery.whole()), "exec bin/eiderwinch")
	if err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	for i := range 2 * shardCount { // the gatherer gets to know how long calls take
		if a := t.ask(d.listen, "reserve", []int{i % shardCount}, "c41e77d0", fmt.Sprintf("early%d", i), 4*time.Second); a.status != 200 {
			return false, errors.New("a query before the trouble was not answered")
		}
	}
	var clients sync.WaitGroup
	statement := strings.Repeat("c41e77d0", statementLength/8)
	for i := range 4 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			t.ask(d.listen, "reserve", []int{0}, statement, fmt.Sprintf("marked%d", i), 5*time.Second)
		}()
	}
	clients.Wait()
	time.Sleep(time.Second)
	if !g.running() {
		return false, errors.New("the gatherer has ended")
	}
	return k.verdict()
}
