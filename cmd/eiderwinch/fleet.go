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
	"eiderwinch/internal/fleet/membership"
	"eiderwinch/internal/fleet/seal"
	"eiderwinch/internal/fleet/share"
	"eiderwinch/internal/fleet/transport"
	"eiderwinch/internal/format/config"
	"eiderwinch/internal/format/settings"
	"eiderwinch/internal/netio"
)

// joinFleet starts the fleet node that makes a gatherer a member of its fleet, as an operators' file configures it.
func joinFleet(f *settings.Fleet, file string, cfg *config.Config, log *slog.Logger) (*transport.Node, error) {
	if cfg.Name == "" {
		return nil, errors.New("fleet: the gatherer has no name, want one in LB_NAME")
	}
	keys, err := readForm(resolveRelative(file, f.Keys), signature.Read)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	now := time.Now()
	// With a seed of 0 every start would draw the same numbers, so the time replaces it.
	seed := cmp.Or(cfg.Settings.Module.Seed, uint64(now.UnixNano()))
	sealer, err := seal.New(keys, f.Key, f.Name, rand.New(rand.NewPCG(seed, 0x73656564)).Uint64()|1)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	if _, err := sealer.Seal(now, nil); err != nil {
		return nil, fmt.Errorf("fleet: %s: %w", f.Keys, err)
	}
	membershipSettings := membership.LAN()
	if f.WAN {
		membershipSettings = membership.WAN()
	}
	n, err := listenFleet(transport.Config{
		Self:     membership.Member{Name: cfg.Name, Addr: f.Listen, Zone: cfg.Settings.Module.Zone, Incarnation: membership.Incarnation{Start: uint64(now.UnixMicro())}},
		Settings: membershipSettings, Sealer: sealer, Seeds: f.Seeds, Seed: seed, Log: log, Advertise: f.Advertise, Slots: f.Slots,
		Share: share.Settings{
			Slots: len(f.Slots), Number: cfg.Settings.Module.GathererNumber, Lease: f.Lease, Window: cfg.Settings.Module.ColdOverloadWindow, Seed: seed,
		},
	})
	if err != nil {
		return nil, err
	}
	log.Info("fleet", "name", f.Name, "addr", n.Addr(), "seeds", len(f.Seeds), "slots", len(f.Slots))
	return n, nil
}

// listenFleet opens the fleet node, and retries for a while if the system fails.
func listenFleet(c transport.Config) (n *transport.Node, err error) {
	err = durable.RetryTransient(durable.ReadTimeout, func() error {
		n, err = transport.Listen(c)
		return err
	})
	return n, err
}

// shareForwarder passes changes of the gatherer's share of the fleet's limits to its node, until the gatherer leaves the
// fleet.
type shareForwarder struct {
	fleet *transport.Node
	node  *netio.Node
	mu    sync.Mutex
	left  bool
}

// run forwards changes of the share until the fleet node closes.
func (s *shareForwarder) run() {
	<-s.node.Started()
	for current := range s.fleet.WatchShare() {
		s.mu.Lock()
		if !s.left {
			s.node.SetShare(current.Slots, current.Until)
		}
		s.mu.Unlock()
	}
}

// leave makes the gatherer leave its fleet. Other gatherers take its slots once its fleet port is closed, so the port is
// closed only after the gatherer has stopped using the slots.
func (s *shareForwarder) leave(ctx context.Context) error {
	if _, divided := s.fleet.Share(); divided {
		s.mu.Lock()
		s.left = true
		s.node.SetShare(0, time.Now().Add(noExpiry))
		s.mu.Unlock()
		// The event loop handles requests in order, so the share set above is in force once this returns.
		if _, ok := s.node.State(ctx, 1<<62); !ok {
			return netio.ErrNotServing
		}
	}
	s.fleet.Leave()
	s.fleet.Close()
	return nil
}

// noExpiry is the lease of a share that must not expire. It is longer than any process runs.
const noExpiry = 100 * 365 * 24 * time.Hour

// publishInterval is the mean interval between publications. Each interval varies by up to a quarter.
const publishInterval = time.Second

// publishState publishes a gatherer's configuration generation and layout epoch to the fleet until ctx ends.
func publishState(ctx context.Context, fleet *transport.Node, node *netio.Node, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0x64657363))
	for {
		if s, ok := node.State(ctx, 1<<62); ok {
			fleet.Describe(s.Generation, uint64(s.Epoch))
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(publishInterval*3/4 + time.Duration(rng.Int64N(int64(publishInterval/2)))):
		}
	}
}

// fleetCommands query a gatherer's view of its fleet.
type fleetCommands struct {
	Status  fleetStatus  `cmd:"" help:"Print a summary of a gatherer's view of its fleet."`
	Members fleetMembers `cmd:"" help:"List the gatherers that a gatherer knows, including those that are gone."`
	Watch   fleetWatch   `cmd:"" help:"Print a line for each change of a gatherer's view, until a signal ends it."`
	Check   fleetCheck   `cmd:"" help:"Ask several gatherers, and report whether their fleet has settled and which of them disagree."`
	Leave   fleetLeave   `cmd:"" help:"Make a gatherer leave its fleet and give up its slots; it keeps serving."`
}

// fleetRequest holds the flags of the commands that read one gatherer's view.
type fleetRequest struct {
	outputFormat
	gathererTarget
}

// state returns the gatherer's view of its fleet.
func (c fleetRequest) state() (s admin.FleetState, err error) {
	return s, c.do(http.MethodGet, "/v1/fleet", nil, &s)
}

type fleetStatus struct{ fleetRequest }

// Run prints a summary of the view.
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
	if s.Replaced {
		fmt.Fprintln(e.stdout, "it no longer takes part: a newer process bears its name")
	}
	return nil
}

type fleetMembers struct{ fleetRequest }

// Run prints one line per member.
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
	fleetRequest
	Every time.Duration `default:"500ms" help:"Mean interval between requests for the view; each interval varies by up to a quarter."`
}

// Run prints each change of the view. A failed request counts as a change.
func (c fleetWatch) Run(e environment) error {
	if c.Every < 10*time.Millisecond {
		return &exitError{exitConfig, fmt.Errorf("--every: found %v, want at least 10ms", c.Every)}
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

// line formats a view in one line, which names the members that are not alive.
func (c fleetWatch) line(s admin.FleetState, err error) string {
	if err != nil {
		return err.Error()
	}
	if c.JSON {
		s.Counts = transport.Counts{} // the counters change all the time
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
		if m.State != membership.Alive.String() {
			text += ", " + m.Name + " " + m.State
		}
	}
	return text
}

type fleetCheck struct {
	outputFormat
	Endpoints []string      `arg:"" help:"The admin sockets of gatherers of one fleet, each unix:PATH or a loopback address and a port."`
	Timeout   time.Duration `default:"5s" help:"How long to wait for an answer."`
}

// fleetFinding is the JSON output of fleet check.
type fleetFinding struct {
	Settled bool     `json:"settled"`
	Asked   int      `json:"asked"`
	Counted int      `json:"counted"` // members counted by the first gatherer that answered
	Slots   int      `json:"slots"`   // held in total by the gatherers that answered
	Faults  []string `json:"faults"`
}

// Run asks all gatherers, and fails if views differ or a member is suspect or dead.
func (c fleetCheck) Run(e environment) error {
	f := fleetFinding{Asked: len(c.Endpoints), Faults: []string{}}
	addFault := func(format string, args ...any) { f.Faults = append(f.Faults, fmt.Sprintf(format, args...)) }
	first := ""
	var digest string
	for _, endpoint := range c.Endpoints {
		client := admin.NewClient(endpoint, c.Timeout, nil)
		var s admin.FleetState
		err := client.Do(context.Background(), http.MethodGet, "/v1/fleet", nil, &s)
		client.Close()
		if err != nil {
			addFault("%v", err)
			continue
		}
		if first == "" {
			first, digest, f.Counted = s.Name, s.Digest, s.Counted
		}
		if s.Digest != digest {
			addFault("%s counts %d with digest %s, %s counts %d with digest %s", s.Name, s.Counted, s.Digest, first, f.Counted, digest)
		}
		if s.Replaced {
			addFault("%s no longer takes part: a newer process bears its name", s.Name)
		}
		for _, m := range s.Members {
			if m.State == membership.Suspect.String() || m.State == membership.Dead.String() {
				addFault("%s considers %s at %s %s", s.Name, m.Name, m.Addr, m.State)
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
		fmt.Fprintf(e.stdout, "asked %d gatherers: %d members are counted, %d slots are held by the gatherers that answered\n", f.Asked, f.Counted, f.Slots)
		for _, x := range f.Faults {
			fmt.Fprintln(e.stdout, x)
		}
	}
	if !f.Settled {
		return errors.New("the fleet has not settled")
	}
	return nil
}

type fleetLeave struct{ gathererTarget }

// Run makes the gatherer leave its fleet.
func (c fleetLeave) Run(e environment) error {
	if err := c.do(http.MethodPost, "/v1/fleet/leave", nil, nil); err != nil {
		return err
	}
	fmt.Fprintln(e.stdout, "the gatherer has left its fleet and keeps serving; it joins again at its next start")
	return nil
}
