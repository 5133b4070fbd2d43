package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"eiderwinch/internal/trial/faults"
	"eiderwinch/internal/trial/hostile"
)

// Sizes and times of a soak. The process is killed as early after SIGTERM as the platform may kill it: after the longest
// deadline, capped at 3 s, plus 0.7 s. The longest deadline is above the cap here, so the kill comes after 3.7 s.
const (
	soakServeTime     = 1500 * time.Millisecond
	soakKillTimeout   = 3700 * time.Millisecond
	soakSeeds         = 6 // unless soakSeedsVariable gives another number
	soakParallel      = 4 // seeds that run at the same time
	soakMinServed     = 100
	soakClients       = 8
	soakQueryTimeout  = 1500 * time.Millisecond
	soakIdleConns     = 150 // idle connections, for every third seed
	soakSeedsVariable = "EIDERWINCH_SOAK_SEEDS"
)

// soakFaults are the faults that a soak draws from. All of them are transient.
var soakFaults = []faults.Fault{
	{Call: "accept4", Errno: syscall.ECONNABORTED, Rate: 0.2},
	{Call: "accept4", Errno: syscall.ENFILE, Rate: 0.3},
	{Call: "accept4", Errno: syscall.ENOBUFS, Rate: 0.3},
	{Call: "accept4", Errno: syscall.EHOSTUNREACH, Rate: 0.2},
	{Call: "socket", Errno: syscall.ENFILE, Rate: 0.3},
	{Call: "socket", Errno: syscall.ENOBUFS, Rate: 0.3},
	{Call: "connect", Errno: syscall.EADDRNOTAVAIL, Rate: 0.3},
	{Call: "connect", Errno: syscall.ENETUNREACH, Rate: 0.3},
	{Call: "read", Errno: syscall.EINTR, Target: faults.Socket, Rate: 0.05},
	{Call: "read", Errno: syscall.ENOMEM, Target: faults.Socket, Rate: 0.02},
	{Call: "write", Errno: syscall.EINTR, Target: faults.Socket, Rate: 0.05},
	{Call: "write", Errno: syscall.ENOBUFS, Target: faults.Socket, Rate: 0.02},
	{Call: "read", Target: faults.Socket, Rate: 0.2},
	{Call: "write", Target: faults.Socket, Rate: 0.2},
	{Call: "write", Errno: syscall.EINTR, Target: faults.EventFD, Rate: 0.2},
	{Call: "read", Errno: syscall.EINTR, Target: faults.EventFD, Rate: 0.2},
	{Call: "epoll_ctl", Errno: syscall.ENOMEM, Rate: 0.1},
	{Call: "epoll_ctl", Errno: syscall.ENOSPC, Rate: 0.1},
	{Call: "epoll_pwait", Errno: syscall.EINTR, Rate: 0.2},
	{Call: "poll", Errno: syscall.EINTR, Rate: 0.3},
	{Call: "ioctl", Errno: syscall.EINTR, Rate: 0.3},
	{Call: "fcntl", Errno: syscall.EMFILE, Rate: 0.1},
}

// drawPlan draws two to five faults that begin once the program serves.
func drawPlan(seed uint64) faults.Plan {
	random := rand.New(rand.NewPCG(seed, 1))
	plan := faults.Plan{Seed: seed}
	for range 2 + random.IntN(4) {
		f := soakFaults[random.IntN(len(soakFaults))]
		f.After = 300*time.Millisecond + time.Duration(random.Int64N(int64(soakServeTime)))
		if random.IntN(2) == 0 {
			f.For = 100*time.Millisecond + time.Duration(random.Int64N(int64(time.Second)))
		}
		plan.Faults = append(plan.Faults, f)
	}
	return plan
}

// Clients send queries until the process ends, signals arrive in quick succession, and system calls fail. Each request
// that was read must get its answer, and the process must end by itself before the kill.
func TestASoakUnderFaults(t *testing.T) {
	path := buildProgram(t)
	semaphore := make(chan struct{}, soakParallel)
	for seed := range seedCount(t, soakSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed+1), func(t *testing.T) {
			t.Parallel()
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			plan := drawPlan(uint64(seed + 1))
			soakProgram(t, launchTraced(t, path, plan), plan.Seed, soakClients, soakMinServed, askForSearch)
			if t.Failed() {
				t.Logf("%+v", plan.Faults)
			}
		})
	}
}

// seedCount returns the number of seeds to run: the given one, unless soakSeedsVariable gives another.
func seedCount(t *testing.T, usual int) int {
	t.Helper()
	text := os.Getenv(soakSeedsVariable)
	if text == "" {
		return usual
	}
	seeds, err := strconv.Atoi(text)
	if err != nil || seeds < 1 {
		t.Fatalf("%s is %q, want a number from 1 on", soakSeedsVariable, text)
	}
	return seeds
}

// resultCounts counts the results of requests.
type resultCounts struct {
	mu     sync.Mutex
	count  map[string]int
	traces []string // of requests that were not answered as they must be
}

// addFault counts a request that was not answered as it must be.
func (c *resultCounts) addFault(result, trace string) {
	c.add(result)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.traces = append(c.traces, trace)
}

// allowLateRests drops the requests from the faults that were answered from a value that nothing had confirmed when their time was
// up. That its rest comes later than that can't be told: docs/answers.md, 'What can't be told apart'.
func (c *resultCounts) allowLateRests(log []string) (allowed int) {
	before := len(c.traces)
	c.traces = slices.DeleteFunc(c.traces, func(trace string) bool {
		return slices.ContainsFunc(log, func(line string) bool {
			return strings.Contains(line, `msg="query ended"`) && strings.Contains(line, "trace="+trace+" ") && !strings.Contains(line, "unconfirmed=0 ")
		})
	})
	return before - len(c.traces)
}

// linesOf returns the lines of a log that name one of the requests that were not answered as they must be.
func (c *resultCounts) linesOf(log []string) (found []string) {
	for _, line := range log {
		if slices.ContainsFunc(c.traces, func(trace string) bool { return strings.Contains(line, trace+".") || strings.Contains(line, trace+" ") }) {
			found = append(found, line)
		}
	}
	return found
}

func (c *resultCounts) add(result string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count[result]++
}

// askFunc sends one query on a connection and records its result. It reports whether the connection stays open.
type askFunc func(c *clientConn, trace string, random *rand.Rand, segments int, results *resultCounts) (open bool)

// soakProgram lets clients ask the program until it ends, beside signals in series. It checks that each request that was read gets
// its answer, and that the program ends by itself before the kill.
func soakProgram(t *testing.T, p *tracedProgram, seed uint64, clientCount, minServed int, ask askFunc) {
	log := make(chan []string, 1)
	go func() {
		var kept []string
		for line := range p.lines {
			kept = append(kept, line)
		}
		log <- kept
	}()
	if seed%3 == 0 {
		for range soakIdleConns {
			if c := dialGatherer(p.addr); c != nil {
				defer c.close()
			}
		}
	}
	results := &resultCounts{count: make(map[string]int)}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for client := range clientCount {
		clients.Add(1)
		go func() {
			defer clients.Done()
			p.useConnections(seed, client, ask, results, stop)
		}()
	}
	signal := func(list ...syscall.Signal) {
		for _, s := range list {
			_ = p.Process.Signal(s)
		}
	}
	signal(syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGHUP)
	time.Sleep(soakServeTime)
	kill := time.After(soakKillTimeout) // counted from the first SIGTERM
	signal(syscall.SIGTERM)
	time.Sleep(soakServeTime / 2)
	signal(syscall.SIGTERM, syscall.SIGHUP)
	var lines []string
	select {
	case lines = <-log:
	case <-kill:
		t.Error("the program was still running at the kill")
		_ = p.Process.Kill()
		lines = <-log
	}
	if err := p.Wait(); err != nil { // called only after the log has ended, because Wait closes the pipe
		t.Errorf("the program ended with %v", err)
	}
	close(stop)
	clients.Wait()
	served, allowed := results.count["200"], results.allowLateRests(lines)
	if results.count[noAnswer] > 0 || len(results.traces) > 0 || served < minServed {
		t.Errorf("%v, want no request without an answer, no wrong value, and at least %d served", results.count, minServed)
	}
	t.Log(results.count, "values cut short and not confirmed in time:", allowed)
	if t.Failed() {
		t.Log(strings.Join(append(results.linesOf(lines), lines[max(len(lines)-30, 0):]...), "\n"))
	}
}

// useConnections sends queries on one connection until the gatherer closes it, then on the next one, until no connection
// can be opened or stop is closed.
func (p *tracedProgram) useConnections(seed uint64, client int, ask askFunc, results *resultCounts, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, uint64(client)))
	for number := 0; ; {
		c := dialGatherer(p.addr)
		if c == nil {
			return
		}
		for open := true; open; number++ {
			select {
			case <-stop:
				c.close()
				return
			case <-time.After(time.Duration(random.Int64N(int64(40 * time.Millisecond)))):
			}
			open = ask(c, fmt.Sprintf("s-%d-%d-%d", seed, client, number), random, p.deployment.Segments(), results)
		}
		c.close()
	}
}

// askForSearch is an askFunc that sends a search and does not look at the values.
func askForSearch(c *clientConn, trace string, random *rand.Rand, segments int, results *resultCounts) (open bool) {
	if err := c.send(trace, random.IntN(segments-1), soakQueryTimeout); err != nil {
		return false
	}
	r, _, err := c.receive()
	return results.addResponse(c, r, err)
}

// addResponse counts a response, and reports whether its connection stays open. A request that the gatherer had not read when
// it closed the connection is not counted: a client would send it again.
func (c *resultCounts) addResponse(from *clientConn, r *http.Response, err error) (open bool) {
	switch {
	case err == nil:
		c.add(strconv.Itoa(r.StatusCode))
		return !r.Close
	case r != nil || !hostile.WasUnread(from.Conn, err): // a truncated answer means that the request was read
		c.add(noAnswer)
	}
	return false
}
