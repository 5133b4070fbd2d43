package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"eiderwinch/internal/layout"
	"eiderwinch/internal/trial/ask"
	"eiderwinch/internal/trial/fake"
)

// Sizes and times of a soak with troubled searchers.
const (
	troubleSoakSeeds     = 6 // unless soakSeedsVariable gives another number
	troubleSoakClients   = 24
	troubleSoakMinServed = 40 // queries whose searchers have trouble fail, and others wait for slow parts
	maxTroubleRate       = 0.12
	maxTroubleDelay      = 400 * time.Millisecond
	troubleQueryTimeout  = 3 * time.Second
	longestHold          = 150 * time.Millisecond // for which a gatherer may be held up
	holds                = 4
	restartAfter         = 300 * time.Millisecond
)

// wrongValue is the result of a request that was answered with a value that no searcher made for it.
const wrongValue = "wrong value"

// Searchers have trouble behind and in place of their answers, one is killed and started again, the gatherer is held up, clients use their
// connections until the end, and signals come in series. No part may be sent after its whole answer, and no client may get a value
// that no searcher made for it.
func TestSoakWithTroubledSearchers(t *testing.T) {
	path := buildProgram(t)
	semaphore := make(chan struct{}, soakParallel)
	for seed := range seedCount(t, troubleSoakSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed+1), func(t *testing.T) {
			t.Parallel()
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			soakWithTrouble(t, path, uint64(seed+1))
		})
	}
}

// soakWithTrouble runs the soak of one seed.
func soakWithTrouble(t *testing.T, path string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 4))
	plan := fake.NewTroublePlan(seed, random.Float64()*maxTroubleRate, maxTroubleDelay)
	deployment := startDeployment(t, fake.DeploymentOptions{
		Seed: seed, Slots: troubledSlots, Trouble: plan.Draw,
		Handler: func(*layout.Layout) fake.Handler { return fake.IdentityHandler{Duration: drawDuration} },
	})
	p := launchAround(t, exec.Command(path, "serve", "--log", "debug"), deployment)
	go func() { // these come beside the signals of soakProgram
		for range holds {
			time.Sleep(soakServeTime / (holds + 1))
			_ = p.Process.Signal(syscall.SIGSTOP)
			time.Sleep(longestHold)
			_ = p.Process.Signal(syscall.SIGCONT)
		}
	}()
	killed := random.IntN(len(deployment.Searchers))
	time.AfterFunc(soakServeTime/2, func() { _ = deployment.Kill(killed) })
	restarted := make(chan error, 1)
	time.AfterFunc(soakServeTime/2+restartAfter, func() { restarted <- deployment.Restart(killed) })
	soakProgram(t, p, seed, troubleSoakClients, troubleSoakMinServed, askAndCheck)
	if err := <-restarted; err != nil {
		t.Error(err)
	}
	answered, _ := deployment.Audit.Counts()
	t.Logf("%d troubles, %d parts answered", plan.Drawn(), answered)
}

// drawDuration returns how long a part takes: most are quick, one in eight is slow.
func drawDuration(p fake.Part) time.Duration {
	if rand.IntN(8) == 0 {
		return slowPartDuration
	}
	return time.Duration(rand.Int64N(int64(2 * quickPartDuration)))
}

// askAndCheck is an askFunc that sends queries of all classes and checks the values that it gets.
func askAndCheck(c *clientConn, trace string, random *rand.Rand, segments int, results *resultCounts) (open bool) {
	q := drawQuery(trace, random.IntN(1<<20), segments)
	type tablet struct {
		Tablet   int     `json:"tablet"`
		Fraction float64 `json:"fraction"`
	}
	var tablets []tablet
	for _, segment := range q.Segments {
		tablets = append(tablets, tablet{segment, 1 / float64(len(q.Segments))})
	}
	body, _ := json.Marshal(map[string]any{"tablets": tablets, "statement": q.Statement})
	_ = c.SetDeadline(time.Now().Add(faultAnswerTimeout))
	if _, err := fmt.Fprintf(c, "POST /%s HTTP/1.1\r\nHost: h\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nIdempotency-Key: %s\r\nX-Expires-In-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		q.Class, q.Trace, q.Class, q.Trace, troubleQueryTimeout.Milliseconds(), len(body), body); err != nil {
		return false
	}
	r, answer, err := c.receive()
	var values struct{ Pieces []ask.Piece }
	if err == nil && r.StatusCode == http.StatusOK && (json.Unmarshal(answer, &values) != nil || !valuesAreRight(q.Trace, values.Pieces)) {
		results.addFault(wrongValue, q.Trace)
	}
	return results.addResponse(c, r, err)
}

// launchAround starts a command that runs the program as the gatherer of a deployment.
func launchAround(t *testing.T, cmd *exec.Cmd, deployment *fake.Deployment) *tracedProgram {
	t.Helper()
	text, err := deployment.Config("n0", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := launchCommand(t, cmd, string(text))
	_, after, _ := strings.Cut(p.waitForLog(t, "msg=serving"), "addr=")
	p.addr, _, _ = strings.Cut(after, " ")
	return &tracedProgram{program: p, deployment: deployment}
}
