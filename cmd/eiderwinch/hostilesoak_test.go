package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"
	"time"

	"eiderwinch/internal/trial/fake"
	"eiderwinch/internal/trial/hostile"
)

// Sizes and times of a soak with hostile clients.
const (
	hostileSoakSeeds    = 6 // unless soakSeedsVariable gives another number
	hostileSoakTime     = 3 * time.Second
	hostileSoakParallel = 2
	mostAttackers       = 500 // of all attacks of a seed together
	// hostileSoakStart is how long the usual clients are alone, so that connections are kept when the attacks begin.
	hostileSoakStart = 300 * time.Millisecond
)

// drawAttacks draws two to four attacks: a crowd or a few clients each, some of which keep their connections to the kill.
func drawAttacks(seed uint64) (attacks []hostile.Attack) {
	random := rand.New(rand.NewPCG(seed, 2))
	kinds := hostile.Kinds()
	left := mostAttackers
	for range 2 + random.IntN(3) {
		clients := 1 + random.IntN(8)
		if random.IntN(2) == 0 {
			clients = min(50+random.IntN(400), left)
		}
		if clients <= 0 {
			break
		}
		left -= clients
		attacks = append(attacks, hostile.Attack{
			Kind: kinds[random.IntN(len(kinds))], Clients: clients, Seed: seed, KeepOpen: random.IntN(3) == 0,
		})
	}
	return attacks
}

// Usual clients ask beside hostile ones of drawn kinds, signals come in series, and hostile clients keep their connections
// until the gatherer ends. Each query that was read gets its answer in time, the gatherer stays within its memory, and it
// ends by itself before the kill.
func TestSoakWithHostileClients(t *testing.T) {
	path := buildProgram(t)
	semaphore := make(chan struct{}, hostileSoakParallel)
	for seed := range seedCount(t, hostileSoakSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed+1), func(t *testing.T) {
			t.Parallel()
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			soakWithAttacks(t, path, uint64(seed+1))
		})
	}
}

// soakWithAttacks runs the soak of one seed.
func soakWithAttacks(t *testing.T, path string, seed uint64) {
	g := startSmallGatherer(t, path, fake.DeploymentOptions{Seed: seed})
	log := make(chan []string, 1)
	go func() {
		var kept []string
		for line := range g.lines {
			kept = append(kept, line)
		}
		log <- kept
	}()
	usual := make(chan *hostile.UsualReport, 1)
	ctx, cancel := context.WithTimeout(context.Background(), hostileSoakTime+soakKillTimeout+time.Second)
	defer cancel()
	go func() {
		usual <- hostile.UsualClients{
			Addr: g.addr, Clients: usualClientCount, Segments: g.deployment.Segments(), Pause: usualPause, Name: "u", UntilRefused: true,
		}.Run(ctx)
	}()
	time.Sleep(hostileSoakStart)
	attacks := drawAttacks(seed)
	var processes []*hostile.Process
	for _, a := range attacks {
		a.Addr, a.Segments = g.addr, g.deployment.Segments()
		p, err := a.Start(hostileSoakTime + soakKillTimeout)
		if err != nil {
			t.Fatal(err)
		}
		processes = append(processes, p)
	}
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGUSR1} {
		time.Sleep(hostileSoakTime / 10)
		_ = g.Process.Signal(s)
	}
	time.Sleep(hostileSoakTime / 2)
	memory := readMemory(t, g.Process.Pid)
	_ = g.Process.Signal(syscall.SIGTERM)
	kill := time.After(soakKillTimeout)
	_ = g.Process.Signal(syscall.SIGHUP)
	_ = g.Process.Signal(syscall.SIGTERM)
	var lines []string
	select {
	case lines = <-log:
	case <-kill:
		t.Error("the program was still running at the kill")
		_ = g.Process.Kill()
		lines = <-log
	}
	if err := g.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
	cancel()
	r := <-usual
	if memory.peak > leastMemoryMB<<10 {
		t.Errorf("%v, want a peak of at most %d MB", memory, leastMemoryMB)
	}
	if r.Late > 0 || r.Failed > 0 || r.Served == 0 {
		t.Errorf("usual clients: %v; want some served, and no answer late or failed", r)
	}
	t.Logf("%v; usual clients: %v", memory, r)
	for i, p := range processes {
		report, err := p.Stop()
		if err != nil {
			t.Error(err)
		}
		t.Logf("%d x %s, keep open %v: %v", attacks[i].Clients, attacks[i].Kind, attacks[i].KeepOpen, report)
	}
	if t.Failed() {
		t.Log(strings.Join(lines[max(len(lines)-10, 0):], "\n"))
	}
}
