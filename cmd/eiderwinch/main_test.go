package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"eiderwinch/internal/trial/testpeer"
)

// program is a running process of the built program.
type program struct {
	*exec.Cmd
	addr  string
	file  string      // its configuration file
	lines chan string // of its log; closed when the log ends
}

// configText is a configuration of the platform. Its verbs stand for the address of discovery, the known members and the
// settings.
const configText = `{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"limits":{"memory_mb":192,"sockets":1024},
	"known":{"revision":1,"complete":true,"members":[%s]},"settings":%s}`

// settingsText holds the settings of one class, for use in configText.
const settingsText = `{"membership_mode":"pushed","tick":5000000,"domain":{"places":1,"in_a_row":1,"shards":4,"per_call":4},
	"classes":[{"name":"search","aim":60000000000,"deadline":60000000000,"effect":"safe","worth":1}],
	"policy_limits":{"cancel":true,"attempts_cap":4}}`

// buildProgram builds the program and returns its path.
func buildProgram(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "eiderwinch")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// configure writes the configuration file.
func (p *program) configure(t *testing.T, text string) {
	if err := os.WriteFile(p.file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// launch starts the built program with a configuration and further environment variables.
func launch(t *testing.T, path, text string, env ...string) *program {
	return launchWith(t, path, nil, text, env...)
}

// launchWith starts the built program with arguments.
func launchWith(t *testing.T, path string, args []string, text string, env ...string) *program {
	return launchCommand(t, exec.Command(path, args...), text, env...)
}

// launchCommand starts a command that runs the program.
func launchCommand(t *testing.T, cmd *exec.Cmd, text string, env ...string) *program {
	p := &program{Cmd: cmd, file: filepath.Join(t.TempDir(), "config.json"), lines: make(chan string, 1000)}
	p.configure(t, text)
	if p.Env == nil {
		p.Env = os.Environ()
	}
	p.Env = append(p.Env, "LB_CONFIG="+p.file, "LB_LISTEN=", "LB_DISCOVERY=", "LB_NAME=")
	p.Env = append(p.Env, env...)
	out, err := p.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Process.Kill() })
	go func() {
		for s := bufio.NewScanner(out); s.Scan(); {
			p.lines <- s.Text()
		}
		close(p.lines)
	}()
	return p
}

// waitForLog waits for a line of the log that contains part, and returns the line.
func (p *program) waitForLog(t *testing.T, part string) string {
	t.Helper()
	for {
		line := testpeer.Receive(t, p.lines, part)
		if line == "" {
			t.Fatalf("the program ended without logging %q", part)
		}
		if strings.Contains(line, part) {
			return line
		}
	}
}

// The program serves, logs its counters on SIGUSR1, follows discovery to another address on SIGHUP, and answers all open
// queries after SIGTERM.
func TestProgramServesAndDrains(t *testing.T) {
	s, d, moved := testpeer.NewSearcher(t), testpeer.NewDiscovery(t), testpeer.NewDiscovery(t)
	text := func(discovery string) string {
		return fmt.Sprintf(configText, discovery, testpeer.Member("s", s.Addr, "Ready", 0), settingsText)
	}
	p := launch(t, buildProgram(t), text(d.Addr), "LB_DISCOVERY="+d.Addr)
	_, addr, _ := strings.Cut(p.waitForLog(t, "msg=serving"), "addr=")
	addr, _, _ = strings.Cut(addr, " ")

	c := testpeer.NewClient(t, addr)
	if resp, _ := c.Send("GET /_health HTTP/1.1\r\n\r\n").ReadResponse(); resp.StatusCode != 200 {
		t.Errorf("health: %s", resp.Status)
	}
	c.Send(testpeer.Query("search", "t1", time.Minute, 2))
	testpeer.Receive(t, s.Parts, "a part").Answer("served", 1, "a")
	testpeer.Receive(t, s.Parts, "a part").Answer("served", 1, "b")
	if resp, body := c.ReadResponse(); resp.StatusCode != 200 || !strings.HasPrefix(body, `{"full":true,`) {
		t.Errorf("have %s %s", resp.Status, body)
	}
	_ = p.Process.Signal(syscall.SIGUSR1)
	if line := p.waitForLog(t, "msg=counters"); !strings.Contains(line, "counters.in.taken=1 ") {
		t.Errorf("counters: %s", line)
	}

	// SIGHUP with an invalid file changes nothing; with a valid one the watch moves to the new address.
	testpeer.Receive(t, d.Watches, "a watch")
	p.configure(t, text("nowhere"))
	_ = p.Process.Signal(syscall.SIGHUP)
	if line := p.waitForLog(t, "not reloaded"); !strings.Contains(line, "discovery") {
		t.Errorf("the invalid key is not named: %s", line)
	}
	p.configure(t, text(moved.Addr))
	_ = p.Process.Signal(syscall.SIGHUP)
	moved.SetList(testpeer.MemberList(2, true, testpeer.Member("s", s.Addr, "Ready", 0)))
	testpeer.Receive(t, moved.Watches, "a watch at the new address")

	// At SIGTERM one query is open and one connection idle.
	idle := testpeer.NewClient(t, addr)
	idle.Send("GET /_health HTTP/1.1\r\n\r\n").ReadResponse()
	c.Send(testpeer.Query("search", "t2", time.Minute, 1))
	part := testpeer.Receive(t, s.Parts, "a part")
	_ = p.Process.Signal(syscall.SIGTERM)
	p.waitForLog(t, "msg=draining")
	_ = p.Process.Signal(syscall.SIGHUP) // has no effect while draining
	if resp, _ := idle.Send("GET /_health HTTP/1.1\r\n\r\n").ReadResponse(); resp.StatusCode != 503 || resp.Close {
		t.Errorf("health of a draining program: %s", resp.Status)
	}
	late := testpeer.NewClient(t, addr).Send(testpeer.Query("search", "t3", time.Minute, 1)) // still accepted
	testpeer.Receive(t, s.Parts, "a part").Answer("served", 1, "d")
	part.Answer("served", 1, "c")
	for _, c := range []*testpeer.Client{c, late} {
		if resp, body := c.ReadResponse(); resp.StatusCode != 200 || !strings.Contains(body, "cell") {
			t.Errorf("answer while draining: %s %s", resp.Status, body)
		}
	}
	for _, c := range []*testpeer.Client{c, late, idle} {
		c.ExpectClosed()
	}
	p.waitForLog(t, "msg=counters")
	for range p.lines { // until the program closes its log
	}
	if err := p.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}

// The log names the file or key that is invalid.
func TestInvalidConfigurationIsNamed(t *testing.T) {
	path := buildProgram(t)
	for text, want := range map[string]string{
		"{": "config.json",
		fmt.Sprintf(configText, "127.0.0.1:1", "", `{"membership_mode":"odd","domain":{"places":1,"in_a_row":1,"shards":1}}`): "membership_mode",
	} {
		p := launch(t, path, text)
		p.waitForLog(t, want)
		for range p.lines {
		}
		if _ = p.Wait(); p.ProcessState.ExitCode() != exitConfig {
			t.Errorf("the program ended with %v", p.ProcessState)
		}
	}
}
