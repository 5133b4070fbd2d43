package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// deployment is a small deployment like that of the brief: 12 searchers in 4 cells and 3 zones, 3 shards a cell.
type deployment struct {
	searchers []*searcher
	members   []member
}

const (
	cells  = 4
	shards = 12
)

var zones = []string{"verona", "brescia", "padova"}

func newDeployment(r *record, work time.Duration) (*deployment, error) {
	d := &deployment{}
	for i := range 12 {
		id := fmt.Sprintf("s-%08x", 0x5be2a000+i)
		s, err := newSearcher(r, id, i%cells, work)
		if err != nil {
			return nil, err
		}
		d.searchers = append(d.searchers, s)
		d.members = append(d.members, member{ID: id, HostPort: s.addr, Locality: zones[i/cells], Flavor: "std", Cell: s.cell, Phase: "Ready", Size: 1})
	}
	return d, nil
}

// whole returns the whole list.
func (d *deployment) whole(revision int64) list {
	return list{revision, true, append([]member(nil), d.members...)}
}

type object = map[string]any

func ns(d time.Duration) int64 { return d.Nanoseconds() }

// config returns the platform's configuration of a gatherer, with the figures of the brief. The seed is new with each start.
func config(listen, discovery string, known list, start int) []byte {
	class := func(name, effect string, aim, deadline time.Duration, worth, late float64) object {
		return object{"name": name, "effect": effect, "group": "all", "stream": false, "aim": ns(aim), "deadline": ns(deadline), "worth": worth, "late_worth": late, "repeat_window": ns(2500 * time.Millisecond)}
	}
	text, err := json.MarshalIndent(object{
		"name": "n0", "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", 0x8c1f30d27a5be964+uint64(start)),
		"limits": object{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":  known,
		"settings": object{
			"az": zones[0], "localities": zones, "balancers": 1, "my_number": 0, "membership_mode": "pushed", "tick": ns(5 * time.Millisecond), "family": "fanout", "flavors": []string{"std"},
			"classes": []object{
				class("report", "safe", 4*time.Second, 12*time.Second, 3, 0.1),
				class("search", "safe", 1500*time.Millisecond, 4*time.Second, 1, 0.1),
				class("reserve", "keyed", 1500*time.Millisecond, 5*time.Second, 2, 0.3),
			},
			"callers": object{"marks_retry": false},
			"domain": object{
				"per_call": 4, "call_cost": ns(68 * time.Millisecond), "places": cells, "in_a_row": 1, "shards": shards, "warm_keys": false,
				"class_fetch": []int{3, 0, 0}, "floor_by_class": []float64{1, 1, 1}, "whole_at": []float64{1, 1, 1}, "class_partial": []float64{0.9, 0.9, 0.9},
			},
			"policy_limits": object{
				"attempts_cap": 4, "cancel": true, "conn_idle": ns(30 * time.Second), "connect_timeout": ns(250 * time.Millisecond), "max_open": 140, "max_retry_after": ns(time.Second),
				"multiplex": 32, "peer_messages": false, "probes": true, "retry_after": true, "second_copies": false,
			},
			"rules": object{
				"answer_slack": ns(20 * time.Millisecond), "ask_within": ns(10 * time.Second), "cold": ns(18 * time.Second), "drain_grace": ns(500 * time.Millisecond),
				"fall_multiple": 2.5, "overload_for": ns(3 * time.Second), "start_capacity": 0.18,
			},
			"prices": object{"cross_zone": 0.028}, "parties": []object{}, "over_share_worth": 0.1, "value_by": "work", "weight_kind": "silent",
			"stats": object{"fields": []string{"cpu", "waiting"}, "how": "pull"},
		},
	}, "", " ")
	if err != nil {
		panic(err)
	}
	return text
}

// gatherer is a gatherer.
type gatherer struct {
	*process
	addr       string
	configPath string
}

// process is a process that was started.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

var (
	startedMu sync.Mutex
	started   []*process
)

// killStarted ends all processes that were started.
func killStarted() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, g := range started {
		g.cmd.Process.Kill()
		<-g.exited
	}
	started = nil
}

// freeAddr returns a free loopback address. Its port lies below those that the system gives to outgoing connections, so
// that none takes it while a gatherer is down.
func freeAddr() (string, error) {
	var err error
	for range 100 {
		addr := fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(10000))
		var l net.Listener
		if l, err = net.Listen("tcp", addr); err == nil {
			return addr, l.Close()
		}
	}
	return "", err
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// writeConfig replaces a configuration file in one step.
func writeConfig(path string, text []byte) error {
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// signal sends a signal to the process.
func (g *process) signal(s syscall.Signal) { g.cmd.Process.Signal(s) }

// running reports whether the process runs.
func (g *process) running() bool {
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}
