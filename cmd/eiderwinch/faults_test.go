package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"eiderwinch/internal/configuration/manager"
	"eiderwinch/internal/trial/fake"
	"eiderwinch/internal/trial/faults"
	"eiderwinch/internal/trial/hostile"
)

func TestMain(m *testing.M) {
	faults.Main()
	hostile.Main()
	os.Exit(m.Run())
}

// Sizes and timeouts of a run under faults.
const (
	faultClients         = 12
	faultQueries         = 30              // per client
	faultAnswerTimeout   = 6 * time.Second // above the queries' deadline of 4 s
	faultShutdownTimeout = 8 * time.Second // for the program to end after SIGTERM
	faultMaxUnanswered   = 2               // a client gives up after this number of requests without an answer
	faultQueriesPerConn  = 5               // a client opens a new connection after this number of queries
)

// faultCases returns transient failures of system calls that Linux documents.
func faultCases() map[string][]faults.Fault {
	const startDelay = 300 * time.Millisecond
	once := func(call string, errno syscall.Errno) faults.Fault {
		return faults.Fault{Call: call, Errno: errno, After: startDelay, MaxFailures: 1}
	}
	withRate := func(call string, errno syscall.Errno, to faults.Target, rate float64) faults.Fault {
		return faults.Fault{Call: call, Errno: errno, Target: to, After: startDelay, Rate: rate}
	}
	forPeriod := func(call string, errno syscall.Errno) faults.Fault {
		return faults.Fault{Call: call, Errno: errno, After: startDelay, For: 300 * time.Millisecond}
	}
	return map[string][]faults.Fault{
		"accept, once":         {once("accept4", syscall.ENFILE)},
		"accept, for a while":  {forPeriod("accept4", syscall.EMFILE)},
		"accept, network down": {once("accept4", syscall.ENETDOWN), once("accept4", syscall.ECONNABORTED), once("accept4", syscall.ENOBUFS)},
		"reads interrupted":    {withRate("read", syscall.EINTR, faults.Socket, 0.05)},
		"writes interrupted":   {withRate("write", syscall.EINTR, faults.Socket, 0.05), withRate("writev", syscall.EINTR, faults.Socket, 0.05)},
		"reads without memory": {withRate("read", syscall.ENOMEM, faults.Socket, 0.02)},
		"writes out of buffers": {withRate("write", syscall.ENOBUFS, faults.Socket, 0.02),
			withRate("writev", syscall.ENOBUFS, faults.Socket, 0.02)},
		"eventfd writes interrupted":      {withRate("write", syscall.EINTR, faults.EventFD, 0.1)},
		"epoll waits interrupted":         {withRate("epoll_pwait", syscall.EINTR, faults.Any, 0.2), withRate("epoll_wait", syscall.EINTR, faults.Any, 0.2)},
		"poll and ioctl interrupted":      {withRate("poll", syscall.EINTR, faults.Any, 0.3), withRate("ioctl", syscall.EINTR, faults.Any, 0.3)},
		"epoll_ctl without memory":        {withRate("epoll_ctl", syscall.ENOMEM, faults.Any, 0.1)},
		"sockets, no buffers":             {forPeriod("socket", syscall.ENOBUFS)},
		"connects without a free address": {forPeriod("connect", syscall.EADDRNOTAVAIL)},
		"network unreachable":             {forPeriod("connect", syscall.ENETUNREACH)},
		"short reads and writes":          {withRate("read", 0, faults.Socket, 0.2), withRate("write", 0, faults.Socket, 0.2)},
		"all at once": {forPeriod("accept4", syscall.ENFILE), forPeriod("socket", syscall.ENFILE),
			withRate("read", syscall.EINTR, faults.Socket, 0.02), withRate("write", syscall.EINTR, faults.Any, 0.02),
			withRate("epoll_ctl", syscall.ENOMEM, faults.Any, 0.05)},
	}
}

// System calls of the built program fail transiently. It must answer or refuse each request, and end only on SIGTERM.
func TestNoRequestIsLostWhileSystemCallsFail(t *testing.T) {
	path := buildProgram(t)
	for name, list := range faultCases() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runFaultPlan(t, path, faults.Plan{Seed: 1, Faults: list})
		})
	}
}

// The descriptor limit of the process is lowered from outside for short periods, in which it can't open descriptors.
func TestNoRequestIsLostWhileDescriptorLimitIsLow(t *testing.T) {
	p := launchDeployed(t, exec.Command(buildProgram(t)), 1)
	go func() {
		var original unix.Rlimit
		for range 3 {
			time.Sleep(200 * time.Millisecond)
			if err := unix.Prlimit(p.Process.Pid, unix.RLIMIT_NOFILE, nil, &original); err != nil {
				t.Error(err)
			}
			low := unix.Rlimit{Cur: 8, Max: original.Max}
			_ = unix.Prlimit(p.Process.Pid, unix.RLIMIT_NOFILE, &low, nil)
			time.Sleep(150 * time.Millisecond)
			_ = unix.Prlimit(p.Process.Pid, unix.RLIMIT_NOFILE, &original, nil)
		}
	}()
	p.checkRequests(t)
}

// tracedProgram is the program with a fake deployment around it. It is traced if it runs under a plan of faults.
type tracedProgram struct {
	*program
	deployment *fake.Deployment
}

// launchTraced starts the program under a plan of faults.
func launchTraced(t *testing.T, path string, plan faults.Plan) *tracedProgram {
	t.Helper()
	cmd, err := faults.Command(plan, path)
	if err != nil {
		t.Fatal(err)
	}
	return launchDeployed(t, cmd, plan.Seed)
}

// launchDeployed starts a command that runs the program, with a fake deployment around it.
func launchDeployed(t *testing.T, cmd *exec.Cmd, seed uint64) *tracedProgram {
	t.Helper()
	return launchAround(t, cmd, startDeployment(t, fake.DeploymentOptions{Seed: seed}))
}

// At a first SIGHUP, reading the configuration file fails for a while; at a second one, the file is half written. The
// reload is retried and succeeds in both cases.
func TestReloadSurvivesDiskFailures(t *testing.T) {
	path := buildProgram(t)
	const down = 2 * time.Second
	plan := faults.Plan{Faults: []faults.Fault{
		{Call: "read", Errno: syscall.EIO, Target: faults.File, Path: "config.json", After: time.Second, For: down},
	}}
	p := launchTraced(t, path, plan)
	time.Sleep(time.Second)
	began := time.Now()
	if err := p.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	p.waitForLog(t, "configuration reloaded")
	if took := time.Since(began); took < down/2 {
		t.Errorf("reloaded within %v: the fault had no effect", took)
	}

	whole, err := os.ReadFile(p.file)
	if err != nil {
		t.Fatal(err)
	}
	p.configure(t, string(whole[:len(whole)/2]))
	if err := p.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(contentTimeout / 2)
	p.configure(t, string(whole))
	p.waitForLog(t, "configuration reloaded")
}

// logHarness is a program whose log the test reads directly, with a fake deployment around it.
type logHarness struct {
	*exec.Cmd
	log        *os.File
	addr       string
	deployment *fake.Deployment
}

func newLogHarness(t *testing.T, args ...string) *logHarness {
	t.Helper()
	deployment := startDeployment(t, fake.DeploymentOptions{Searchers: 4})
	text, err := deployment.Config("n1", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	h := &logHarness{Cmd: exec.Command(buildProgram(t), append([]string{"serve"}, args...)...), log: reader, deployment: deployment}
	h.Env = append(os.Environ(), "LB_CONFIG="+file, "LB_LISTEN=", "LB_DISCOVERY=", "LB_NAME=")
	h.Stderr = writer
	if err := h.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = h.Process.Kill() })
	_ = writer.Close()
	buffered := bufio.NewReader(reader)
	for h.addr == "" {
		line, err := buffered.ReadString('\n')
		if err != nil {
			t.Fatalf("%q, %v", line, err)
		}
		if _, after, ok := strings.Cut(line, "addr="); ok {
			h.addr, _, _ = strings.Cut(after, " ")
		}
	}
	return h
}

// The reader of the log closes the pipe, so that writes to it raise SIGPIPE or fail. The gatherer keeps running
// and drains cleanly.
func TestClosedLogReaderDoesNotEndProgram(t *testing.T) {
	h := newLogHarness(t)
	_ = h.log.Close()
	for range 5 {
		_ = h.Process.Signal(syscall.SIGUSR1)
		time.Sleep(20 * time.Millisecond)
	}
	_ = h.Process.Signal(syscall.SIGTERM)
	if err := h.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}

// The reader of the log keeps the pipe open but stops reading, so that the pipe fills. No query is delayed.
func TestStalledLogReaderDelaysNoQuery(t *testing.T) {
	h := newLogHarness(t, "--log", "debug")
	defer h.log.Close()
	c := dialGatherer(h.addr)
	defer c.close()
	for i := range 500 { // about 200 KB of log; a pipe holds 64 KiB
		if got := c.ask(fmt.Sprintf("t-%d", i), i%(h.deployment.Segments()-1)); got != "200" {
			t.Fatalf("query %d: %s", i, got)
		}
	}
}

// A disk that fails for a while delays a change of the configuration, but the change is not lost: once confirmed, it
// survives a kill.
func TestConfigChangeSurvivesDiskFailures(t *testing.T) {
	for name, list := range map[string][]faults.Fault{
		"syncs":      {{Call: "fdatasync", Errno: syscall.EIO, MaxFailures: 5}},
		"full":       {{Call: "pwrite64", Errno: syscall.ENOSPC, Target: faults.File, Path: ".db", MaxFailures: 5}},
		"growing":    {{Call: "ftruncate", Errno: syscall.ENOSPC, MaxFailures: 3}, {Call: "fsync", Errno: syscall.EIO, MaxFailures: 3}},
		"in between": {{Call: "fdatasync", Errno: syscall.EIO, Rate: 0.5}, {Call: "pwrite64", Errno: syscall.EIO, Rate: 0.2, Path: ".db", Target: faults.File}},
	} {
		t.Run(name, func(t *testing.T) {
			m := newManagedProgram(t)
			m.writeOperatorsFile(t, `<guard probation="60s" auto="false"/>`)
			for i := range list {
				list[i].After, list[i].For = time.Second, 3*time.Second
			}
			cmd, err := faults.Command(faults.Plan{Seed: 1, Faults: list}, m.path, "serve", "--file", m.ops)
			if err != nil {
				t.Fatal(err)
			}
			p := launchCommand(t, cmd, m.text)
			p.waitForLog(t, "msg=serving")
			time.Sleep(time.Second) // until the faults begin
			m.writeOperatorsFile(t, `<guard probation="60s" auto="false"/><class name="search" open="50"/>`)
			_ = p.Process.Signal(syscall.SIGHUP)
			p.waitForLog(t, "a write fails; it is tried again")
			m.waitForStatus(t, "probation", lastTransaction(1, "probation"))
			if code, _, errs := runCommand(t, nil, "config", "confirm", "--file", m.ops, "1"); code != exitOK {
				t.Errorf("confirm: %s", errs)
			}
			p.kill(t)
			p, _ = m.launch(t)
			if s := m.waitForStatus(t, "a status", func(manager.Status) bool { return true }); s.Confirmed != 2 {
				t.Errorf("after the kill: %+v", s)
			}
			_ = p.Process.Kill()
		})
	}
}

// A start succeeds although the disk fails or sockets can't be opened for a while.
func TestStartSurvivesTransientFailures(t *testing.T) {
	const down = 1500 * time.Millisecond
	fails := func(call string, errno syscall.Errno, to faults.Target, path string) faults.Fault {
		return faults.Fault{Call: call, Errno: errno, Target: to, Path: path, For: down}
	}
	for name, list := range map[string][]faults.Fault{
		"syncs":         {fails("fdatasync", syscall.EIO, faults.Any, "")},
		"configuration": {fails("read", syscall.EIO, faults.File, "config.json")},
		"sockets":       {fails("socket", syscall.ENOBUFS, faults.Any, ""), fails("eventfd2", syscall.EMFILE, faults.Any, "")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newManagedProgram(t)
			m.writeOperatorsFile(t, "")
			if name == "sockets" { // the Go runtime opens an eventfd at its start and can't run without it
				list[1].After = 200 * time.Millisecond
			}
			cmd, err := faults.Command(faults.Plan{Faults: list}, m.path, "serve", "--file", m.ops)
			if err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			p := launchCommand(t, cmd, m.text)
			p.waitForLog(t, "msg=serving")
			if took := time.Since(began); took < down/2 {
				t.Errorf("started within %v: the fault had no effect", took)
			}
			_ = p.Process.Kill()
		})
	}
}

// runFaultPlan runs the program under a plan of faults and checks its requests.
func runFaultPlan(t *testing.T, path string, plan faults.Plan) {
	launchTraced(t, path, plan).checkRequests(t)
}

// checkRequests sends queries, ends the program, and checks that it drained and that each request was answered or
// refused.
func (p *tracedProgram) checkRequests(t *testing.T) {
	t.Helper()
	var all sync.WaitGroup
	results := make(chan string, faultClients*faultQueries)
	for client := range faultClients {
		all.Add(1)
		go func() {
			defer all.Done()
			p.ask(client, results)
		}()
	}
	all.Wait()
	close(results)
	count := make(map[string]int)
	for r := range results {
		count[r]++
	}
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Errorf("the program ended before SIGTERM: %v", err)
	}
	kill := time.AfterFunc(faultShutdownTimeout, func() { _ = p.Process.Kill() })
	defer kill.Stop()
	var log []string
	draining := false
	for line := range p.lines {
		draining = draining || strings.Contains(line, "msg=draining")
		log = append(log, line)
	}
	if err := p.Wait(); err != nil || !draining {
		t.Errorf("the program ended with %v, want no error; draining logged: %v, want true", err, draining)
	}
	total, whole := faultClients*faultQueries, count["200"]
	refused := count["503"] + count["429"]
	if whole+refused < total || whole < total*9/10 {
		t.Errorf("of %d requests: %v; want each one answered or refused, and nine in ten answered", total, count)
	}
	if t.Failed() {
		t.Log(strings.Join(log[max(len(log)-30, 0):], "\n"))
	}
}

// ask sends the queries of one client one after the other. It doesn't use http.Transport, which would resend a
// query on another connection if its idle connection breaks.
func (p *tracedProgram) ask(client int, results chan<- string) {
	var connection *clientConn
	unanswered := 0
	for i := range faultQueries {
		if i%faultQueriesPerConn == 0 {
			connection.close()
			connection = dialGatherer(p.addr)
		}
		result := connection.ask(fmt.Sprintf("f-%d-%d", client, i), (client+i)%(p.deployment.Segments()-1))
		results <- result
		if result == noAnswer {
			if unanswered++; unanswered == faultMaxUnanswered {
				break
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	connection.close()
}

// noAnswer is the result of a request without an answer.
const noAnswer = "no answer"

// clientConn is one connection of a client to a gatherer.
type clientConn struct {
	net.Conn
	in *bufio.Reader
}

// dialGatherer connects to a gatherer, and returns nil if that fails.
func dialGatherer(addr string) *clientConn {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil
	}
	return &clientConn{conn, bufio.NewReader(conn)}
}

// close closes the connection, if there is one.
func (c *clientConn) close() {
	if c != nil {
		_ = c.Conn.Close()
	}
}

// ask sends a query for a segment and the next one, and returns the status or noAnswer.
func (c *clientConn) ask(trace string, segment int) string {
	if c == nil {
		return noAnswer
	}
	if err := c.send(trace, segment, 4*time.Second); err != nil {
		return noAnswer
	}
	r, _, err := c.receive()
	if err != nil {
		return noAnswer
	}
	return strconv.Itoa(r.StatusCode)
}

// receive reads a whole answer and its body. For a truncated one it returns both the answer and an error.
func (c *clientConn) receive() (r *http.Response, body []byte, err error) {
	if r, err = http.ReadResponse(c.in, nil); err != nil {
		return nil, nil, err
	}
	defer r.Body.Close()
	body, err = io.ReadAll(r.Body)
	return r, body, err
}

// send sends a query for a segment and the next one.
func (c *clientConn) send(trace string, segment int, expires time.Duration) error {
	body := fmt.Sprintf(`{"tablets":[{"tablet":%d,"fraction":0.5},{"tablet":%d,"fraction":0.5}],"statement":"find fullest"}`, segment, segment+1)
	_ = c.SetDeadline(time.Now().Add(faultAnswerTimeout))
	_, err := fmt.Fprintf(c, "POST /search HTTP/1.1\r\nHost: h\r\nX-Trace-Id: %s\r\nX-Qos: search\r\nX-Expires-In-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		trace, expires.Milliseconds(), len(body), body)
	return err
}
