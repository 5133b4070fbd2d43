package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"text/tabwriter"
	"time"

	"eiderwinch/internal/admin"
	"eiderwinch/internal/configuration/signature"
	"eiderwinch/internal/durable"
	fleetnet "eiderwinch/internal/fleet/net"
	"eiderwinch/internal/fleet/seal"
	"eiderwinch/internal/fleet/share"
	"eiderwinch/internal/fleet/view"
	"eiderwinch/internal/format/config"
	"eiderwinch/internal/format/settings"
	"eiderwinch/internal/netio"
)

// joinFleet starts a gatherer's view of its fleet, as an operators' file says.
func joinFleet(f *settings.Fleet, file string, cfg *config.Config, log *slog.Logger) (*fleetnet.Node, error) {
	if cfg.Name == "" {
		return nil, errors.New("fleet: the gatherer has no name, want LB_NAME")
	}
	keys, err := readForm(beside(file, f.Keys), signature.Read)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	now := time.Now()
	// Without a seed two starts would draw the same: then the time stands in.
	seed := cmp.Or(cfg.Settings.Module.Seed, uint64(now.UnixNano()))
	sealer, err := seal.New(keys, f.Key, f.Name, rand.New(rand.NewPCG(seed, 0x73656564)).Uint64()|1)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	if _, err := sealer.Seal(now, nil); err != nil {
		return nil, fmt.Errorf("fleet: %s: %w", f.Keys, err)
	}
	set := view.LAN()
	if f.Wide {
		set = view.WAN()
	}
	n, err := listenFleet(fleetnet.Config{
		Self:     view.Member{Name: cfg.Name, Addr: f.Listen, Zone: cfg.Settings.Module.Zone, Incarnation: view.Incarnation{Start: uint64(now.UnixMicro())}},
		Settings: set, Sealer: sealer, Seeds: f.Seeds, Seed: seed, Log: log, Advertise: f.Advertise, Slots: f.Slots,
		Share: share.Settings{
			Slots: len(f.Slots), Number: cfg.Settings.Module.Number, Lease: f.Lease, Window: cfg.Settings.Module.ColdOverloads, Seed: seed,
		},
	})
	if err != nil {
		return nil, err
	}
	log.Info("fleet", "name", f.Name, "addr", n.Addr(), "seeds", len(f.Seeds), "slots", len(f.Slots))
	return n, nil
}

// listenFleet joins, again where the system fails for a while.
func listenFleet(c fleetnet.Config) (n *fleetnet.Node, err error) {
	err = durable.Within(durable.ReadTime, func() error {
		n, err = fleetnet.Listen(c)
		return err
	})
	return n, err
}

// sharing tells a gatherer what it may use of its fleet's limits, until it leaves.
type sharing struct {
	fleet *fleetnet.Node
	node  *netio.Node
	mu    sync.Mutex
	left  bool
}

// run hands on what changes, until the fleet's node ends.
func (s *sharing) run() {
	<-s.node.Started()
	for x := range s.fleet.Shares() {
		s.mu.Lock()
		if !s.left {
			s.node.Share(x.Slots, x.Until)
		}
		s.mu.Unlock()
	}
}

// leave has the gatherer leave its fleet. Its slots go to others only once it uses none of them
// itself: its port is closed after that.
func (s *sharing) leave(ctx context.Context) error {
	if _, divided := s.fleet.Share(); divided {
		s.mu.Lock()
		s.left = true
		s.node.Share(0, time.Now().Add(forGood))
		s.mu.Unlock()
		if _, ok := s.node.State(ctx, 1<<62); !ok { // in the loop's order, so what was told before is in force
			return netio.ErrNotServing
		}
	}
	s.fleet.Leave()
	s.fleet.Close()
	return nil
}

// forGood is longer than any process lives.
const forGood = 100 * 365 * 24 * time.Hour

// describeEvery is how often what a gatherer serves is looked at, give or take a quarter.
const describeEvery = time.Second

// describe tells the fleet what a gatherer serves, until ctx ends.
func describe(ctx context.Context, fleet *fleetnet.Node, node *netio.Node, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0x64657363))
	for {
		if s, ok := node.State(ctx, 1<<62); ok {
			fleet.Describe(s.Generation, uint64(s.Epoch))
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(describeEvery*3/4 + time.Duration(rng.Int64N(int64(describeEvery/2)))):
		}
	}
}

// fleetCommands ask a gatherer how it sees its fleet.
type fleetCommands struct {
	Status  fleetStatus  `cmd:"" help:"Say which view a gatherer has of its fleet, and what it has counted."`
	Members fleetMembers `cmd:"" help:"List the gatherers that one knows, those that are gone among them."`
	Watch   fleetWatch   `cmd:"" help:"Print a line for each change of a gatherer's view, until a signal ends it."`
	Check   fleetCheck   `cmd:"" help:"Ask several gatherers, and say whether their fleet has settled and who disagrees."`
	Leave   fleetLeave   `cmd:"" help:"Have a gatherer leave its fleet and give up its slots; it goes on serving."`
}

// fleetAsk is how either of them asks.
type fleetAsk struct {
	asJSON
	toGatherer
}

func (c fleetAsk) state() (s admin.FleetState, err error) {
	return s, c.do(http.MethodGet, "/v1/fleet", nil, &s)
}

type fleetStatus struct{ fleetAsk }

// Run prints the view in short.
func (c fleetStatus) Run(e environment) error {
	s, err := c.state()
	if err != nil {
		return err
	}
	if c.JSON {
		return c.print(e.stdout, s)
	}
	states := make(map[string]int)
	for _, m := range s.Members {
		states[m.State]++
	}
	fmt.Fprintf(e.stdout, "%s at %s: view %d, digest %s, counts %d\nalive %d, suspect %d, dead %d, left %d\n",
		s.Name, s.Addr, s.View, s.Digest, s.Counted, states["alive"], states["suspect"], states["dead"], states["left"])
	if s.Share != nil {
		fmt.Fprintf(e.stdout, "holds %d slots of the fleet's limits\n", s.Share.Slots)
	}
	if s.Over {
		fmt.Fprintln(e.stdout, "it takes no part any more: a newer process bears its name")
	}
	return nil
}

type fleetMembers struct{ fleetAsk }

// Run prints a line a member.
func (c fleetMembers) Run(e environment) error {
	s, err := c.state()
	if err != nil {
		return err
	}
	if c.JSON {
		return c.print(e.stdout, s.Members)
	}
	t := tabwriter.NewWriter(e.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "name\tstate\taddress\tzone\tgeneration\tepoch")
	for _, m := range s.Members {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\n", m.Name, m.State, m.Addr, cmp.Or(m.Zone, "-"), m.Generation, m.Epoch)
	}
	return t.Flush()
}

type fleetWatch struct {
	fleetAsk
	Every time.Duration `default:"500ms" help:"Look so often, a quarter more or less."`
}

// Run prints changes. A gatherer that does not answer is a change, too.
func (c fleetWatch) Run(e environment) error {
	if c.Every < 10*time.Millisecond {
		return &exitError{exitConfig, fmt.Errorf("--every: found %v, want 10ms at least", c.Every)}
	}
	ctx, stop := e.untilSignal()
	defer stop()
	var last string
	for {
		s, err := c.state()
		if text := c.line(s, err); text != last {
			last = text
			fmt.Fprintf(e.stdout, "%s %s\n", time.Now().Format("15:04:05.000"), text)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(c.Every*3/4 + rand.N(c.Every/2+1)):
		}
	}
}

// line is a view in one line: who is not well is named.
func (c fleetWatch) line(s admin.FleetState, err error) string {
	if err != nil {
		return err.Error()
	}
	if c.JSON {
		s.Counts = fleetnet.Counts{} // they change all the time
		b, err := json.Marshal(s)
		if err != nil {
			return err.Error()
		}
		return string(b)
	}
	text := fmt.Sprintf("%s: view %d, digest %s, counts %d", s.Name, s.View, s.Digest, s.Counted)
	if s.Share != nil {
		text += fmt.Sprintf(", holds %d slots", s.Share.Slots)
	}
	for _, m := range s.Members {
		if m.State != view.Alive.String() {
			text += ", " + m.Name + " " + m.State
		}
	}
	return text
}

type fleetCheck struct {
	asJSON
	Endpoints []string      `arg:"" help:"The admin sockets of some gatherers of one fleet, unix:PATH or a loopback address and a port."`
	Timeout   time.Duration `default:"5s" help:"An answer is waited for so long."`
}

// fleetFinding is what is wrong, for programs.
type fleetFinding struct {
	Settled bool     `json:"settled"`
	Asked   int      `json:"asked"`
	Counted int      `json:"counted"` // by the first that answered
	Slots   int      `json:"slots"`   // held by those that were asked, together
	Faults  []string `json:"faults"`
}

// Run asks all, and is not content where views differ or somebody is not well.
func (c fleetCheck) Run(e environment) error {
	f := fleetFinding{Asked: len(c.Endpoints), Faults: []string{}}
	fault := func(format string, args ...any) { f.Faults = append(f.Faults, fmt.Sprintf(format, args...)) }
	first := ""
	var digest string
	for _, endpoint := range c.Endpoints {
		client := admin.NewClient(endpoint, c.Timeout, nil)
		var s admin.FleetState
		err := client.Do(context.Background(), http.MethodGet, "/v1/fleet", nil, &s)
		client.Close()
		if err != nil {
			fault("%v", err)
			continue
		}
		if first == "" {
			first, digest, f.Counted = s.Name, s.Digest, s.Counted
		}
		if s.Digest != digest {
			fault("%s counts %d with digest %s, %s counts %d with digest %s", s.Name, s.Counted, s.Digest, first, f.Counted, digest)
		}
		if s.Over {
			fault("%s takes no part any more: a newer process bears its name", s.Name)
		}
		for _, m := range s.Members {
			if m.State == view.Suspect.String() || m.State == view.Dead.String() {
				fault("%s holds %s at %s for %s", s.Name, m.Name, m.Addr, m.State)
			}
		}
		if s.Share != nil {
			f.Slots += s.Share.Slots
		}
	}
	f.Settled = len(f.Faults) == 0
	if c.JSON {
		if err := c.print(e.stdout, f); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(e.stdout, "asked %d: %d are counted, %d slots are held by those that were asked\n", f.Asked, f.Counted, f.Slots)
		for _, x := range f.Faults {
			fmt.Fprintln(e.stdout, x)
		}
	}
	if !f.Settled {
		return errors.New("the fleet has not settled")
	}
	return nil
}

type fleetLeave struct{ toGatherer }

// Run has the gatherer leave.
func (c fleetLeave) Run(e environment) error {
	if err := c.do(http.MethodPost, "/v1/fleet/leave", nil, nil); err != nil {
		return err
	}
	fmt.Fprintln(e.stdout, "it has left its fleet, and serves on; it joins again with its next start")
	return nil
}
