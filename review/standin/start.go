package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// startGatherer starts a gatherer as the platform does, and waits until it is ready.
func (p *play) startGatherer(discovery string, known list) (*gatherer, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	g := &gatherer{addr: addr, configPath: filepath.Join(p.dir, "config.json")}
	return g, p.restartGatherer(g, discovery, known)
}

// restartGatherer starts a gatherer under the same name and addresses, with a new configuration file.
func (p *play) restartGatherer(g *gatherer, discovery string, known list) error {
	deploy, err := os.ReadFile(filepath.Join(p.root, "deploy", "balancer.toml"))
	if err != nil {
		return err
	}
	m := runLine.FindSubmatch(deploy)
	if m == nil {
		return fmt.Errorf("deploy/balancer.toml has no line run")
	}
	p.starts++
	if err := writeConfig(g.configPath, config(g.addr, discovery, known, p.starts)); err != nil {
		return err
	}
	command := string(m[1]) + p.arguments
	g.process, err = p.start("gatherer", command, "LB_NAME=n0", "LB_LISTEN="+g.addr, "LB_DISCOVERY="+discovery, "LB_CONFIG="+g.configPath)
	if err != nil {
		return err
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		r, err := client.Get("http://" + g.addr + "/_health")
		if err != nil {
			continue
		}
		r.Body.Close()
		if r.StatusCode == http.StatusOK {
			p.record.log("gatherer ready")
			return nil
		}
	}
	return fmt.Errorf("the gatherer was not ready within 10 s")
}

// startProcess starts a further process, which runs until the case ends.
func (p *play) startProcess(name, command string) error {
	_, err := p.start(name, command)
	return err
}

// start starts a command from the repository's root, with its output in a file of the temporary folder.
func (p *play) start(name, command string, env ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(p.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	s := &process{cmd: exec.Command("/bin/sh", "-c", command), exited: make(chan struct{})}
	s.cmd.Dir = p.root
	s.cmd.Env = append([]string{"TMPDIR=" + p.dir, "PATH=" + os.Getenv("PATH")}, env...)
	s.cmd.Stdout, s.cmd.Stderr = log, log
	if err := s.cmd.Start(); err != nil {
		return nil, err
	}
	p.record.log("%s started: %s", name, command)
	startedMu.Lock()
	started = append(started, s)
	startedMu.Unlock()
	go func() {
		err := s.cmd.Wait()
		p.record.log("%s ended: %v", name, err)
		close(s.exited)
	}()
	return s, nil
}
