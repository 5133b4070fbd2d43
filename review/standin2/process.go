package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// process is a process of one of the project's programs.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// start starts a command of the project through the shell, from the project's folder, as
// the platform does. Its log goes to a file of the trial's folder.
func (t *trial) start(name, command string, env ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(t.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &process{name: name, cmd: exec.Command("/bin/sh", "-c", command), done: make(chan struct{})}
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = t.root, log, log
	p.cmd.Env = append(os.Environ(), env...)
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	t.mu.Lock()
	t.processes = append(t.processes, p)
	t.mu.Unlock()
	t.note("started %s as process %d: %s", name, p.cmd.Process.Pid, command)
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// signal sends a signal to the process.
func (t *trial) signal(p *process, s syscall.Signal) error {
	t.note("signal %v to %s", s, p.name)
	return p.cmd.Process.Signal(s)
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// endProcesses kills the processes that are left.
func (t *trial) endProcesses() {
	t.mu.Lock()
	list := t.processes
	t.processes = nil
	t.mu.Unlock()
	for _, p := range list {
		if p.running() {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
}

// awaitReady waits until a gatherer answers its health check with 200.
func (t *trial) awaitReady(p *process, addr string) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if !p.running() {
			return fmt.Errorf("%s has ended before it was ready", p.name)
		}
		r, err := client.Get("http://" + addr + "/_health")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			t.note("%s is ready", p.name)
			return nil
		}
	}
	return fmt.Errorf("%s was not ready within 30 s", p.name)
}

// logText returns what the process has logged.
func (t *trial) logText(name string) string {
	text, _ := os.ReadFile(filepath.Join(t.dir, name+".log"))
	return string(text)
}
