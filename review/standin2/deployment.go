package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"
)

// The deployment of the cases: 12 searchers in 3 zones, in 4 cells whose 3 members hold
// the same 3 of 12 shards.
const (
	searcherCount = 12
	cellCount     = 4
	shardCount    = 12
)

var zones = []string{"verona", "brescia", "padova"}

type object = map[string]any

// deployment is what one gatherer needs.
type deployment struct {
	searchers []*searcher
	members   []member
	discovery *discovery
	listen    string // of the gatherer
}

// newDeployment starts the searchers and discovery.
func newDeployment(t *trial, smallBuffers bool, handle func(arrival) reply) (*deployment, error) {
	d := &deployment{}
	for i := range searcherCount {
		s, err := newSearcher(t, fmt.Sprintf("s-%02d", i), smallBuffers, handle)
		if err != nil {
			return nil, err
		}
		d.searchers = append(d.searchers, s)
		d.members = append(d.members, member{
			ID: s.id, HostPort: s.addr(), Locality: zones[i/cellCount%len(zones)], Flavor: "std", Cell: i % cellCount, Phase: "Ready", Size: 1,
		})
	}
	var err error
	d.discovery, err = newDiscovery(t, "A", d.members)
	return d, err
}

// freeAddr returns a free loopback address.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// config returns a gatherer's configuration with the settings of the operators' first
// deployment.
func (d *deployment) config(discoveryAddr string, known json.RawMessage) object {
	class := func(name, effect string, aim, deadline, window time.Duration, worth, late float64) object {
		return object{
			"name": name, "effect": effect, "aim": aim.Nanoseconds(), "deadline": deadline.Nanoseconds(), "group": "all", "stream": false,
			"repeat_window": window.Nanoseconds(), "late_worth": late, "worth": worth,
		}
	}
	return object{
		"name": "n0", "listen": d.listen, "discovery": discoveryAddr, "seed": fmt.Sprintf("%016x", uint64(time.Now().UnixNano())),
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  known,
		"settings": object{
			"az": "verona", "balancers": 3, "my_number": 0, "membership_mode": "pushed", "tick": 5_000_000, "family": "fanout",
			"localities": zones, "flavors": []string{"std", "old"}, "value_by": "work", "parties": []object{}, "over_share_worth": 0.1,
			"classes": []object{
				class("report", "safe", 4*time.Second, 12*time.Second, 5*time.Second, 3, 0.1),
				class("search", "safe", 1500*time.Millisecond, 4*time.Second, 5*time.Second, 1, 0.1),
				class("reserve", "keyed", 1500*time.Millisecond, 5*time.Second, repeatWindow, 2, 0.3),
			},
			"domain": object{
				"call_cost": 68_000_000, "class_fetch": []int{3, 0, 0}, "class_partial": []float64{0.9, 0.9, 0.9}, "floor_by_class": []float64{1, 1, 1},
				"in_a_row": 1, "per_call": 4, "places": cellCount, "shards": shardCount, "warm_keys": false, "whole_at": []float64{1, 1, 1},
			},
			"policy_limits": object{
				"attempts_cap": 4, "cancel": true, "conn_idle": 30_000_000_000, "connect_timeout": 250_000_000, "max_open": 140, "max_retry_after": 1_000_000_000,
				"multiplex": 32, "peer_messages": false, "probes": true, "retry_after": true, "second_copies": false,
			},
			"rules": object{
				"answer_slack": 20_000_000, "ask_within": 10_000_000_000, "cold": 18_000_000_000, "drain_grace": 500_000_000, "fall_multiple": 2.5,
				"overload_for": 3_000_000_000, "start_capacity": 0.18,
			},
			"callers": object{"marks_retry": false}, "prices": object{"cross_zone": 0.028},
			"stats": object{"fields": []string{"cpu", "waiting"}, "how": "pull"},
		},
	}
}

// repeatWindow is for how long a searcher drops a repeated reservation.
const repeatWindow = 2500 * time.Millisecond

// drainGrace is for how long a gatherer may send to a searcher that it was told is leaving.
const drainGrace = 500 * time.Millisecond

// writeConfig writes a configuration to a file of the trial's folder.
func (t *trial) writeConfig(config object) (path string, err error) {
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return "", err
	}
	path = filepath.Join(t.dir, "config.json")
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(path+".new", path)
}

// writeFile writes a file of the trial's folder.
func (t *trial) writeFile(name, text string) (path string, err error) {
	path = filepath.Join(t.dir, name)
	return path, os.WriteFile(path, []byte(text), 0o600)
}
