package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"eiderwinch/internal/layout"
)

// DeploymentOptions is the size of a Deployment.
type DeploymentOptions struct {
	Searchers int // 12 where it is 0
	Zones     int // 3 where it is 0
	Cells     int // sets of searchers that hold the same segments; 4 where it is 0
	PerCell   int // segments of each; 3 where it is 0
	Service   time.Duration
	Seed      uint64

	// Ring lays the segments out in a ring: two begin at each searcher, and the next one
	// holds them as well. Cells and PerCell are passed over.
	Ring bool
	// Partial makes a service of batches, and of wide reports that may be answered from half
	// of their segments, for tenants, with second copies: no second steps, no reservations.
	Partial bool

	// Layout and Work make a deployment whose segments change: which searchers,
	// in order of their zones, hold what at first, and what they do with it. Where
	// they are nil the cells say who holds what, and all hold a Stock.
	Layout func(searchers, zones []string) *layout.Layout
	Work   func(*layout.Layout) Work
}

// Deployment is a whole world round one gatherer: searchers in zones, the
// catalogue they hold, and discovery.
type Deployment struct {
	opts      DeploymentOptions
	Searchers []*Searcher
	Discovery *Discovery
	Stock     *Stock // nil where Work was given

	work    Work
	first   *layout.Layout
	members []Member
}

var zoneNames = []string{"verona", "brescia", "padova", "trento", "vicenza"}

// Tenants are those of a deployment that has some, with equal shares.
var Tenants = []string{"north", "south", "west"}

// callCost is a call's work beside its parts: Dixie's price of a server.
const callCost = 2 * time.Millisecond

// NewDeployment starts a deployment. Close ends it.
func NewDeployment(o DeploymentOptions) (*Deployment, error) {
	for _, at := range []struct {
		value *int
		def   int
	}{{&o.Searchers, 12}, {&o.Zones, 3}, {&o.Cells, 4}, {&o.PerCell, 3}} {
		if *at.value == 0 {
			*at.value = at.def
		}
	}
	if o.Ring {
		o.Cells, o.PerCell = o.Searchers, 2
	}
	if o.Zones > len(zoneNames) {
		return nil, fmt.Errorf("stand-in: %d zones, at most %d", o.Zones, len(zoneNames))
	}
	if o.Searchers < o.Cells {
		return nil, fmt.Errorf("stand-in: %d searchers can't fill %d cells", o.Searchers, o.Cells)
	}
	d := &Deployment{opts: o}
	var ids, zones []string
	for i := range o.Searchers {
		// The searchers of one cell lie in different zones.
		ids, zones = append(ids, fmt.Sprintf("s-%02d", i)), append(zones, zoneNames[i/o.Cells%o.Zones])
	}
	if o.Layout != nil {
		d.first = o.Layout(ids, zones)
	}
	if o.Work != nil {
		d.work = o.Work(d.first)
	} else {
		d.Stock = NewStock(StockOptions{Segments: o.Cells * o.PerCell, Service: o.Service, Seed: o.Seed})
		d.work = d.Stock
	}
	var err error
	if d.Discovery, err = NewDiscovery(); err != nil {
		return nil, err
	}
	for i, id := range ids {
		s, err := d.searcher(id)
		if err != nil {
			return nil, errors.Join(err, d.Close())
		}
		d.Searchers = append(d.Searchers, s)
		d.members = append(d.members, Member{
			ID: id, Addr: s.Addr(), Zone: zones[i], Kind: "std", Cell: i % o.Cells, Phase: Ready, Size: 1,
		})
	}
	d.Discovery.Tell(d.members...)
	return d, nil
}

func (d *Deployment) searcher(id string) (*Searcher, error) {
	return NewSearcher(SearcherOptions{ID: id, Work: d.work, Call: callCost})
}

// First is the layout at first; nil where the cells say who holds what.
func (d *Deployment) First() *layout.Layout { return d.first }

// Fleet is the searchers with their zones.
func (d *Deployment) Fleet(replicas int) layout.Fleet {
	f := layout.Fleet{Replicas: replicas, Zones: make(map[string]string)}
	for _, m := range d.members {
		f.Zones[m.ID] = m.Zone
	}
	return f
}

// Kill ends a searcher's process: its connections break, and discovery tells
// that it is gone.
func (d *Deployment) Kill(i int) error {
	err := d.Searchers[i].Close()
	gone := d.members[i]
	gone.Phase = Gone
	d.Discovery.Tell(gone)
	return err
}

// Restart starts a searcher that was killed, under its id and at a new address.
func (d *Deployment) Restart(i int) error {
	s, err := d.searcher(d.members[i].ID)
	if err != nil {
		return err
	}
	d.Searchers[i] = s
	d.members[i].Addr, d.members[i].UpSince = s.Addr(), time.Now().UnixMilli()
	d.Discovery.Tell(d.members[i])
	return nil
}

// Segments is how many segments there are.
func (d *Deployment) Segments() int { return d.opts.Cells * d.opts.PerCell }

// Close ends all its parties.
func (d *Deployment) Close() error {
	var errs []error
	for _, s := range d.Searchers {
		errs = append(errs, s.Close())
	}
	if d.Discovery != nil {
		errs = append(errs, d.Discovery.Close())
	}
	return errors.Join(errs...)
}

// Config is a configuration for a gatherer of this deployment, in the form of
// the platform's file.
func (d *Deployment) Config(name, listen string) ([]byte, error) {
	type object = map[string]any
	class := func(name, effect string, aim, deadline time.Duration, worth float64) object {
		return object{"name": name, "effect": effect, "aim": aim.Nanoseconds(), "deadline": deadline.Nanoseconds(),
			"repeat_window": defaultWindow.Nanoseconds(), "late_worth": 0.1, "worth": worth}
	}
	reach, batch := 1, 4
	if d.opts.Ring {
		reach, batch = 2, 16
	}
	classes := []object{
		class("report", "safe", 4*time.Second, 12*time.Second, 3),
		class("search", "safe", 1500*time.Millisecond, 4*time.Second, 1),
		class("reserve", "keyed", 1500*time.Millisecond, 5*time.Second, 2),
	}
	fetch, floors, partial, attempts := []int{3, 0, 0}, []float64{1, 1, 1}, []float64{0.9, 0.9, 0.9}, 4
	var parties []object
	if d.opts.Partial {
		classes = []object{
			class("report", "safe", 2*time.Second, 5*time.Second, 3),
			class("lookup", "safe", 2*time.Second, 6*time.Second, 1),
		}
		fetch, floors, partial, attempts = []int{0, 0}, []float64{0.5, 1}, []float64{0.8, 0.9}, 3
		for _, t := range Tenants {
			parties = append(parties, object{"name": t, "share": 1 / float64(len(Tenants))})
		}
	}
	return json.MarshalIndent(object{
		"name": name, "listen": listen, "discovery": d.Discovery.Addr(), "seed": fmt.Sprintf("%016x", d.opts.Seed),
		"limits": object{"memory_mb": 192, "sockets": 1024},
		"known":  json.RawMessage(d.Discovery.List()),
		"settings": object{
			"az": zoneNames[0], "balancers": 1, "my_number": 0, "membership_mode": "pushed",
			"tick":    (5 * time.Millisecond).Nanoseconds(),
			"classes": classes, "parties": parties, "over_share_worth": 0.05, "value_by": "work",
			"domain": object{
				"per_call": batch, "call_cost": callCost.Nanoseconds(), "places": d.opts.Cells, "in_a_row": reach, "shards": d.Segments(),
				"class_fetch": fetch, "floor_by_class": floors, "class_partial": partial, "whole_at": []int{1, 1, 1}[:len(classes)],
			},
			"policy_limits": object{
				"second_copies": d.opts.Partial, "attempts_cap": attempts, "cancel": true, "retry_after": true, "max_retry_after": time.Second.Nanoseconds(),
				"max_open": 1000, "multiplex": 32, "connect_timeout": (250 * time.Millisecond).Nanoseconds(),
				"conn_idle": (30 * time.Second).Nanoseconds(),
			},
			"rules": object{
				"drain_grace": (500 * time.Millisecond).Nanoseconds(), "cold": (18 * time.Second).Nanoseconds(),
				"start_capacity": 0.18, "fall_multiple": 2.5, "overload_for": (3 * time.Second).Nanoseconds(),
				"answer_slack": (20 * time.Millisecond).Nanoseconds(),
			},
		},
	}, "", "  ")
}
