package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"eiderwinch/internal/trial/fake"
	"eiderwinch/internal/trial/hostile"
	"eiderwinch/internal/trial/testpeer"
)

// The least limits that the pages name, and how long an attack lasts.
const (
	leastMemoryMB      = 32
	leastDescriptors   = 1024
	attackDuration     = 4 * time.Second
	usualClientCount   = 8
	usualPause         = 100 * time.Millisecond
	errorOrCloseWithin = 3 * time.Second
	recoveryTime       = 4 * time.Second // for a gatherer to give memory back
	recoveryMB         = 6               // what may stay of it
)

// smallGatherer is a process of the built program on one core with the least limits, in a fake deployment.
type smallGatherer struct {
	*program
	deployment *fake.Deployment
}

// limitedConfig returns a configuration of a deployment's gatherer with the least limits.
func limitedConfig(t *testing.T, deployment *fake.Deployment) string {
	t.Helper()
	text, err := deployment.Config("n0", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return strings.NewReplacer(`"memory_mb": 192`, fmt.Sprintf(`"memory_mb": %d`, leastMemoryMB),
		`"max_open": 1000`, `"max_open": 2209`).Replace(string(text))
}

// startSmallGatherer starts the built program on one core with the least limits.
func startSmallGatherer(t *testing.T, path string, options fake.DeploymentOptions) *smallGatherer {
	t.Helper()
	deployment := startDeployment(t, options)
	p := launchOnOneCore(t, exec.Command(path), limitedConfig(t, deployment))
	limit := unix.Rlimit{Cur: leastDescriptors, Max: leastDescriptors}
	if err := unix.Prlimit(p.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(p.waitForLog(t, "msg=serving"), "addr=")
	p.addr, _, _ = strings.Cut(after, " ")
	return &smallGatherer{p, deployment}
}

// launchOnOneCore starts a command that runs the program, on one of the cores that this process may use.
func launchOnOneCore(t *testing.T, cmd *exec.Cmd, text string) *program {
	t.Helper()
	runtime.LockOSThread() // a child inherits the cores of the thread that starts it
	defer runtime.UnlockOSThread()
	var allowed, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &allowed); err != nil {
		t.Fatal(err)
	}
	for core := range runtime.NumCPU() {
		if allowed.IsSet(core) {
			one.Zero()
			one.Set(core) // the last one that is allowed stays
		}
	}
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unix.SchedSetaffinity(0, &allowed) }()
	return launchCommand(t, cmd, text)
}

// memoryUse is what a process holds in memory, in KB.
type memoryUse struct{ peak, resident, anonymous, file int }

// String returns the sizes in MB.
func (m memoryUse) String() string {
	return fmt.Sprintf("peak %.1f MB, now %.1f MB (anonymous %.1f, file %.1f)",
		float64(m.peak)/1024, float64(m.resident)/1024, float64(m.anonymous)/1024, float64(m.file)/1024)
}

// readMemory reads the memory use of a process.
func readMemory(t *testing.T, pid int) memoryUse {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	field := func(name string) int {
		_, rest, _ := strings.Cut(string(text), name+":")
		words := strings.Fields(rest)
		if len(words) == 0 {
			t.Fatalf("the process has ended: its status lacks %s", name)
		}
		n, err := strconv.Atoi(words[0])
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	return memoryUse{field("VmHWM"), field("VmRSS"), field("RssAnon"), field("RssFile")}
}

// attackResult is what was seen of a gatherer under an attack.
type attackResult struct {
	before, after memoryUse
	attacks       []hostile.Report
	usual         *hostile.UsualReport
	ejections     int // of searchers, all of which are well
}

// attack plays hostile clients beside usual ones, and reads the gatherer's memory before and after.
func (g *smallGatherer) attack(t *testing.T, duration time.Duration, attacks ...hostile.Attack) attackResult {
	t.Helper()
	var r attackResult
	r.before = readMemory(t, g.Process.Pid)
	var processes []*hostile.Process
	for _, a := range attacks {
		a.Addr, a.Segments = g.addr, g.deployment.Segments()
		process, err := a.Start(duration)
		if err != nil {
			t.Fatal(err)
		}
		processes = append(processes, process)
	}
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	r.usual = hostile.UsualClients{
		Addr: g.addr, Clients: usualClientCount, Segments: g.deployment.Segments(), Pause: usualPause, Name: "u",
	}.Run(ctx)
	for _, process := range processes {
		report, err := process.Wait()
		if err != nil {
			t.Fatal(err)
		}
		r.attacks = append(r.attacks, report)
	}
	for end := time.Now().Add(recoveryTime); time.Now().Before(end); time.Sleep(recoveryTime / 20) {
		if r.after = readMemory(t, g.Process.Pid); r.after.anonymous <= r.before.anonymous+recoveryMB<<10 {
			break
		}
	}
	t.Logf("memory before: %v; after: %v", r.before, r.after)
	t.Logf("usual clients: %v", r.usual)
	for i, a := range r.attacks {
		t.Logf("%d x %s: %v", attacks[i].Clients, attacks[i].Kind, a)
	}
	_ = g.Process.Signal(syscall.SIGUSR1)
	for line := range g.lines {
		if strings.Contains(line, "ejected") {
			r.ejections++
		}
		if strings.Contains(line, "msg=counters") {
			t.Log(line)
			break
		}
	}
	t.Logf("%d ejections", r.ejections)
	return r
}

// checkMemory checks that the gatherer has stayed within its memory, and has given back what the clients took.
func (r attackResult) checkMemory(t *testing.T) {
	t.Helper()
	if r.after.peak > leastMemoryMB<<10 {
		t.Errorf("%v, want a peak of at most %d MB", r.after, leastMemoryMB)
	}
	if r.after.anonymous > r.before.anonymous+recoveryMB<<10 {
		t.Errorf("%v after the clients have left, want at most %d MB above %v", r.after, recoveryMB, r.before)
	}
}

// checkUsual checks that the usual clients got their answers in time, and that a share of them was served.
func (r attackResult) checkUsual(t *testing.T, share float64) {
	t.Helper()
	if r.usual.Late > 0 || r.usual.Failed > 0 {
		t.Errorf("usual clients: %v; want no answer late or failed", r.usual)
	}
	if float64(r.usual.Served) < share*float64(r.usual.Asked) {
		t.Errorf("usual clients: %v; want %v of them served", r.usual, share)
	}
	if least := int(usualClientCount * attackDuration / (hostile.UsualWait + usualPause)); r.usual.Asked < least/2 {
		t.Errorf("usual clients: %v; want at least half of the %d queries that they ask if each takes all its time", r.usual, least)
	}
}

// checkEnds checks that clients that stopped or were unsound got an error or a close in time.
func (r attackResult) checkEnds(t *testing.T) {
	t.Helper()
	for _, a := range r.attacks {
		if a.Unended > 0 || a.LongestToEnd > errorOrCloseWithin {
			t.Errorf("%v; want an error or a close within %v", a, errorOrCloseWithin)
		}
	}
}

// servedShare is the share of the usual clients' queries that has to be served beside an attack of a few.
const servedShare = 0.9

// fewLatency bounds the latency of the usual clients beside an attack of a few: a deployment gives a gatherer a part of a
// core, where a delay is up to three times as long, and the clients wait for 657 ms.
const fewLatency = hostile.UsualWait / 3

// crowdServedShare is the share of the usual clients' queries that has to be served beside a crowd. A crowd that asks sound
// queries may take all the room that there is.
var crowdServedShare = map[hostile.Kind]float64{
	hostile.StalledBody: servedShare, hostile.TinyChunks: servedShare, hostile.ShortFields: servedShare, hostile.LongHead: servedShare,
	hostile.WideQueries: servedShare, hostile.NestedQueries: servedShare, hostile.TrickledHead: servedShare, hostile.Silent: servedShare,
	hostile.HealthFlood: servedShare, hostile.UnsoundFlood: servedShare, hostile.NewClasses: servedShare,
}

// testCrowds plays crowds of hostile clients, one kind after the other.
func testCrowds(t *testing.T, kinds ...hostile.Kind) {
	const crowd = 600
	path := buildProgram(t)
	for _, kind := range kinds {
		t.Run(string(kind), func(t *testing.T) {
			r := startSmallGatherer(t, path, fake.DeploymentOptions{Seed: 1}).attack(t, attackDuration, hostile.Attack{Kind: kind, Clients: crowd, Seed: 1})
			r.checkMemory(t)
			r.checkUsual(t, crowdServedShare[kind])
			r.checkEnds(t)
		})
	}
}

// testFew plays a few hostile clients of each kind, one kind after the other.
func testFew(t *testing.T, kinds ...hostile.Kind) {
	const few = 6
	path := buildProgram(t)
	for _, kind := range kinds {
		t.Run(string(kind), func(t *testing.T) {
			r := startSmallGatherer(t, path, fake.DeploymentOptions{Seed: 1}).attack(t, attackDuration, hostile.Attack{Kind: kind, Clients: few, Seed: 1})
			r.checkMemory(t)
			r.checkUsual(t, servedShare)
			r.checkEnds(t)
			if p99 := r.usual.Percentile(0.99); p99 > fewLatency {
				t.Errorf("p99 of the usual clients is %v, want at most %v", p99, fewLatency)
			}
		})
	}
}

func TestCrowdThatStopsInItsBodyStaysWithinMemory(t *testing.T) {
	testCrowds(t, hostile.StalledBody)
}

func TestCrowdThatSendsInPiecesStaysWithinMemory(t *testing.T) {
	testCrowds(t, hostile.PiecewiseBody, hostile.TinyChunks)
}

func TestCrowdOfLongHeadsStaysWithinMemory(t *testing.T) {
	testCrowds(t, hostile.ShortFields, hostile.LongHead)
}

func TestCrowdOfLargeQueriesStaysWithinMemory(t *testing.T) {
	testCrowds(t, hostile.LargeQueries, hostile.WideQueries, hostile.NestedQueries)
}

func TestCrowdThatReadsNoAnswersStaysWithinMemory(t *testing.T) {
	testCrowds(t, hostile.UnreadAnswers, hostile.LargePipeline)
}

func TestCrowdAtFullSpeedDelaysNoOtherClient(t *testing.T) {
	testCrowds(t, hostile.HealthFlood, hostile.UnsoundFlood, hostile.NewClasses, hostile.NewTenants, hostile.Leavers, hostile.ConnectionChurn,
		hostile.TrickledHead, hostile.Silent)
}

func TestFloodOfSmallRequestsDelaysNoOtherClient(t *testing.T) {
	testFew(t, hostile.HealthFlood, hostile.UnsoundFlood, hostile.NewClasses, hostile.NewTenants)
}

func TestFloodOfCostlyRequestsDelaysNoOtherClient(t *testing.T) {
	testFew(t, hostile.WideQueries, hostile.LargeQueries, hostile.UnreadAnswers, hostile.ConnectionChurn)
}

// receivedParts records when parts arrived at the searchers.
type receivedParts struct {
	mu    sync.Mutex
	times map[string][]time.Time // by part ID
}

func (r *receivedParts) add(p fake.Part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.times[p.ID] = append(r.times[p.ID], time.Now())
}

// count returns how often parts of a query have arrived.
func (r *receivedParts) count(trace string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, times := range r.times {
		if strings.HasPrefix(id, trace+".") {
			n += len(times)
		}
	}
	return n
}

// beginsUntil is how long after its client has left an attempt may still begin.
const beginsUntil = 100 * time.Millisecond

func TestNothingBeginsForClientsThatHaveLeft(t *testing.T) {
	parts := &receivedParts{times: make(map[string][]time.Time)}
	g := startSmallGatherer(t, buildProgram(t), fake.DeploymentOptions{Seed: 1, Received: parts.add})
	r := g.attack(t, attackDuration, hostile.Attack{Kind: hostile.Leavers, Clients: 8, Seed: 1})
	r.checkUsual(t, servedShare)
	parts.mu.Lock()
	defer parts.mu.Unlock()
	for id, times := range parts.times {
		name := id[:max(strings.LastIndexByte(id, '-'), 0)]
		left, known := r.attacks[0].Left[name]
		if last := times[len(times)-1]; known && last.After(left.Add(beginsUntil)) {
			t.Errorf("part %s arrived %v after its client had left", id, last.Sub(left))
		}
	}
}

func TestIDOfQueryThatMayHaveRunIsNotTakenAgain(t *testing.T) {
	parts := &receivedParts{times: make(map[string][]time.Time)}
	g := startSmallGatherer(t, buildProgram(t), fake.DeploymentOptions{Seed: 1, Received: parts.add})
	const body = `{"tablets":[{"tablet":0,"fraction":1}],"statement":"reserve one"}`
	for i := range 20 {
		trace := fmt.Sprintf("again-%d", i)
		text := fmt.Sprintf("POST /reserve HTTP/1.1\r\nX-Trace-Id: %s\r\nX-Qos: reserve\r\nX-Expires-In-Ms: 657\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
			trace, trace, len(body), body)
		first := testpeer.NewClient(t, g.addr).Send(text)
		testpeer.WaitUntil(t, "the part of the first query", func() bool { return parts.count(trace) == 1 })
		_ = first.Close()
		response, _ := testpeer.NewClient(t, g.addr).Send(text).ReadResponse()
		if response.StatusCode != http.StatusConflict || parts.count(trace) != 1 {
			t.Errorf("the same id again: found status %d and %d parts, want %d and 1", response.StatusCode, parts.count(trace), http.StatusConflict)
		}
	}
}

// Usual clients that write a large query slowly are served, as long as there is room for all of them.
func TestSlowWritersAreServed(t *testing.T) {
	const writers = 12
	g := startSmallGatherer(t, buildProgram(t), fake.DeploymentOptions{Seed: 1})
	r := g.attack(t, attackDuration, hostile.Attack{Kind: hostile.PiecewiseBody, Clients: writers, Seed: 1})
	r.checkMemory(t)
	r.checkUsual(t, servedShare)
	answers := r.attacks[0].Answers
	if served := answers[http.StatusOK]; len(answers) != 1 || served < writers {
		t.Errorf("slow writers got %v, want only %d", answers, http.StatusOK)
	}
}
