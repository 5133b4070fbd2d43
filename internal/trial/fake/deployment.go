package fake

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"eiderwinch/internal/layout"
	"eiderwinch/internal/trial/partaudit"
)

// DeploymentOptions configures a Deployment.
type DeploymentOptions struct {
	Searchers       int           // 0 means 12
	Zones           int           // 0 means 3
	Cells           int           // replica groups: sets of searchers that hold the same segments; 0 means 4
	SegmentsPerCell int           // 0 means 3
	ServiceTime     time.Duration // median time to serve a part; 0 means 6 ms
	Seed            uint64
	Received        func(Part) // see SearcherOptions, as for the next two
	Slots           int
	Trouble         func(p Part, waiting int) Trouble

	// Ring places the segments in a ring: each searcher is the first holder of two segments,
	// which the next searcher holds as well. Cells and SegmentsPerCell are ignored.
	Ring bool
	// Partial configures two classes: lookups in batches, and wide reports, which may be
	// answered from half of their segments. The queries belong to tenants, and their parts may
	// have second copies. There are no second steps and no reservations.
	Partial bool

	// Layout and Handler configure a deployment whose segments change. Layout returns the
	// initial layout for the searchers; zones[i] is the zone of searchers[i]. Handler returns
	// the handler of all their parts. If they are nil, the segments are assigned by cell and
	// all searchers share one SharedCatalogue.
	Layout  func(searchers, zones []string) *layout.Layout
	Handler func(*layout.Layout) Handler
}

// Deployment is the environment that one gatherer needs: searchers in zones, the catalogue
// that they hold, and discovery.
type Deployment struct {
	opts      DeploymentOptions
	Searchers []*Searcher
	Discovery *Discovery
	Catalogue *SharedCatalogue // nil if DeploymentOptions.Handler is set
	Audit     *partaudit.Audit // of the parts of all searchers

	handler Handler
	initial *layout.Layout
	members []Member
}

var zoneNames = []string{"verona", "brescia", "padova", "trento", "vicenza"}

// Tenants are the tenants of a deployment with DeploymentOptions.Partial. They have equal
// shares.
var Tenants = []string{"north", "south", "west"}

// callCost is the fixed time that a call takes at a searcher in addition to its parts, like the per-server overhead in
// the cost model of the Dixie query planner.
const callCost = 2 * time.Millisecond

// NewDeployment starts a deployment. It runs until Close is called.
func NewDeployment(o DeploymentOptions) (*Deployment, error) {
	for _, option := range []struct {
		value        *int
		defaultValue int
	}{{&o.Searchers, 12}, {&o.Zones, 3}, {&o.Cells, 4}, {&o.SegmentsPerCell, 3}} {
		if *option.value == 0 {
			*option.value = option.defaultValue
		}
	}
	if o.Ring {
		o.Cells, o.SegmentsPerCell = o.Searchers, 2
	}
	if o.Zones > len(zoneNames) {
		return nil, fmt.Errorf("fake deployment: found %d zones, want at most %d", o.Zones, len(zoneNames))
	}
	if o.Searchers < o.Cells {
		return nil, fmt.Errorf("fake deployment: found %d searchers, want at least one for each of %d cells", o.Searchers, o.Cells)
	}
	d := &Deployment{opts: o, Audit: partaudit.New()}
	var ids, zones []string
	for i := range o.Searchers {
		// The searchers of one cell are in different zones.
		ids, zones = append(ids, fmt.Sprintf("s-%02d", i)), append(zones, zoneNames[i/o.Cells%o.Zones])
	}
	if o.Layout != nil {
		d.initial = o.Layout(ids, zones)
	}
	if o.Handler != nil {
		d.handler = o.Handler(d.initial)
	} else {
		d.Catalogue = NewSharedCatalogue(SharedCatalogueOptions{Segments: o.Cells * o.SegmentsPerCell, ServiceTime: o.ServiceTime, Seed: o.Seed})
		d.handler = d.Catalogue
	}
	var err error
	if d.Discovery, err = NewDiscovery(); err != nil {
		return nil, err
	}
	for i, id := range ids {
		s, err := d.newSearcher(id)
		if err != nil {
			return nil, errors.Join(err, d.Close())
		}
		d.Searchers = append(d.Searchers, s)
		d.members = append(d.members, Member{
			ID: id, Addr: s.Addr(), Zone: zones[i], Kind: "std", Cell: i % o.Cells, Phase: Ready, Size: 1,
		})
	}
	d.Discovery.Publish(d.members...)
	return d, nil
}

func (d *Deployment) newSearcher(id string) (*Searcher, error) {
	return NewSearcher(SearcherOptions{
		ID: id, Handler: d.handler, CallCost: callCost, Audit: d.Audit,
		Received: d.opts.Received, Slots: d.opts.Slots, Trouble: d.opts.Trouble,
	})
}

// InitialLayout returns the initial layout. It is nil if the segments are assigned by cell.
func (d *Deployment) InitialLayout() *layout.Layout { return d.initial }

// Fleet returns the searchers and their zones, with the given number of replicas.
func (d *Deployment) Fleet(replicas int) layout.Fleet {
	f := layout.Fleet{Replicas: replicas, Zones: make(map[string]string)}
	for _, m := range d.members {
		f.Zones[m.ID] = m.Zone
	}
	return f
}

// Kill stops searcher i as if it had crashed: its connections are closed, and discovery
// reports that it is gone.
func (d *Deployment) Kill(i int) error {
	err := d.Searchers[i].Close()
	gone := d.members[i]
	gone.Phase = Gone
	d.Discovery.Publish(gone)
	return err
}

// Restart starts searcher i again after Kill, with the same id and a new address.
func (d *Deployment) Restart(i int) error {
	s, err := d.newSearcher(d.members[i].ID)
	if err != nil {
		return err
	}
	d.Searchers[i] = s
	d.members[i].Addr, d.members[i].UpSince = s.Addr(), time.Now().UnixMilli()
	d.Discovery.Publish(d.members[i])
	return nil
}

// Segments returns the number of segments.
func (d *Deployment) Segments() int { return d.opts.Cells * d.opts.SegmentsPerCell }

// Close stops the searchers and discovery.
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

// Config returns a configuration for a gatherer of this deployment, in the format of the
// platform's configuration file.
func (d *Deployment) Config(name, listen string) ([]byte, error) {
	type object = map[string]any
	class := func(name, effect string, aim, deadline time.Duration, worth float64) object {
		return object{"name": name, "effect": effect, "aim": aim.Nanoseconds(), "deadline": deadline.Nanoseconds(),
			"repeat_window": defaultRepeatWindow.Nanoseconds(), "late_worth": 0.1, "worth": worth}
	}
	cellsPerSegment, partsPerCall := 1, 4
	if d.opts.Ring {
		cellsPerSegment, partsPerCall = 2, 16
	}
	classes := []object{
		class("report", "safe", 4*time.Second, 12*time.Second, 3),
		class("search", "safe", 1500*time.Millisecond, 4*time.Second, 1),
		class("reserve", "keyed", 1500*time.Millisecond, 5*time.Second, 2),
	}
	classFetch, floorByClass, classPartial, maxAttempts := []int{3, 0, 0}, []float64{1, 1, 1}, []float64{0.9, 0.9, 0.9}, 4
	var tenants []object
	if d.opts.Partial {
		classes = []object{
			class("report", "safe", 2*time.Second, 5*time.Second, 3),
			class("lookup", "safe", 2*time.Second, 6*time.Second, 1),
		}
		classFetch, floorByClass, classPartial, maxAttempts = []int{0, 0}, []float64{0.5, 1}, []float64{0.8, 0.9}, 3
		for _, t := range Tenants {
			tenants = append(tenants, object{"name": t, "share": 1 / float64(len(Tenants))})
		}
	}
	return json.MarshalIndent(object{
		"name": name, "listen": listen, "discovery": d.Discovery.Addr(), "seed": fmt.Sprintf("%016x", d.opts.Seed),
		"limits": object{"memory_mb": 192, "sockets": 1024},
		"known":  json.RawMessage(d.Discovery.List()),
		"settings": object{
			"az": zoneNames[0], "balancers": 1, "my_number": 0, "membership_mode": "pushed",
			"tick":    (5 * time.Millisecond).Nanoseconds(),
			"classes": classes, "parties": tenants, "over_share_worth": 0.05, "value_by": "work",
			"domain": object{
				"per_call": partsPerCall, "call_cost": callCost.Nanoseconds(), "places": d.opts.Cells, "in_a_row": cellsPerSegment, "shards": d.Segments(),
				"class_fetch": classFetch, "floor_by_class": floorByClass, "class_partial": classPartial, "whole_at": []int{1, 1, 1}[:len(classes)],
			},
			"policy_limits": object{
				"second_copies": d.opts.Partial, "attempts_cap": maxAttempts, "cancel": true, "retry_after": true, "max_retry_after": time.Second.Nanoseconds(),
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
