// Package settings reads the operators' file: XML that follows deploy/eiderwinch.xsd
// and holds settings that the platform's configuration does not have. A feature is off
// unless the file has its element. The package opens no files of its own.
package settings

import (
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"time"

	"eiderwinch"
	"eiderwinch/internal/configuration/guard"
	"eiderwinch/internal/format/config"
	"eiderwinch/internal/format/xmlform"
	"eiderwinch/internal/layout/reshard"
)

// Namespace is the XML namespace of operators' files.
const Namespace = "urn:eiderwinch:operators:1"

// File is the content of an operators' file.
type File struct {
	Admin       string // endpoint of a gatherer's admin socket; empty means none
	Layout      string // path of a layout file; empty: the platform's cells assign shards to searchers
	Follow      bool   // take epochs from a coordinator and write them to Layout
	Coordinator *Coordinator
	Fleet       *Fleet // membership of the gatherers' fleet; nil means none

	LiveOverrides LiveOverrides
	Guard         Guard
	Signing       string // path of the keys that configurations must be signed with; empty means no signatures
	History       string // path of the record of configuration changes; empty means in memory only
}

// Fleet configures how a gatherer keeps track of the other gatherers of its fleet.
type Fleet struct {
	Name   string   // name of the fleet
	Listen string   // address and port for datagrams and streams
	Keys   string   // path of a key file
	Key    string   // name of the shared secret in it that seals messages
	WAN    bool     // the gatherers are in several regions, so changes are detected later
	Seeds  []string // addresses of other gatherers, through which this one joins

	Advertise string        // address at which the others reach it; empty means Listen
	Slots     []string      // address of each gatherer by its number, if the fleet's limits are divided among them
	Lease     time.Duration // how long a refused connection counts as proof that a gatherer is gone
	Line      int           // line of the element in the file
}

// LiveOverrides holds the settings that can change while queries run. For a field that is
// zero the platform's configuration applies.
type LiveOverrides struct {
	Classes   []Class
	Pools     Pools
	Admission Admission
	Log       string // level: debug, info, warn or error; empty means info
}

// Class holds the operators' limits for a class of queries.
type Class struct {
	Name     string
	Timeout  time.Duration // longest time that a query may take
	Attempts int           // most attempts of each part
	Open     int           // most queries open at once; further ones are refused
	Line     int           // line of the element in the file
}

// Pools holds the limits of connections to searchers.
type Pools struct {
	Multiplex      int           // most parts that one connection carries at once
	ConnectTimeout time.Duration // longest time that a call waits for a connection
	Idle           time.Duration // connections idle for this long are closed
	Line           int           // line of the element in the file
}

// Admission limits what clients may hold at once.
type Admission struct {
	Open int // most queries and parts
	Line int // line of the element in the file
}

// Guard configures how a change of the configuration is watched.
type Guard struct {
	Probation time.Duration // how long a change is watched
	Auto      bool          // confirm a change at the end of its probation if service has not regressed
	Limits    guard.Limits
}

// Coordinator configures the coordinator of layout changes.
type Coordinator struct {
	Listen, Log, Layout string        // endpoint of its admin socket; paths of its log and of the first layout
	MeasuredClass       string        // class whose p99 latency bounds the rate of copies
	Poll, Timeout       time.Duration // of requests to gatherers and searchers
	Limits              reshard.Limits
	Gatherers           []AdminEndpoint
	Searchers           []AdminEndpoint
}

// AdminEndpoint names a gatherer or searcher and the endpoint of its admin socket.
type AdminEndpoint struct{ Name, Endpoint string }

// Form returns the form of operators' files, from which deploy/eiderwinch.xsd is
// generated.
func Form() *xmlform.Form {
	endpoint := func(doc string, required bool) xmlform.Attribute {
		return xmlform.Attribute{Name: "endpoint", Kind: xmlform.Endpoint, Required: required, Doc: doc}
	}
	process := []xmlform.Attribute{
		{Name: "name", Kind: xmlform.Name, Required: true, Doc: "its name; for a searcher, its ID in discovery"},
		endpoint("its admin socket", true),
	}
	return &xmlform.Form{
		Namespace: Namespace, Root: "eiderwinch", Depth: 3,
		Doc:   "The operators' file of eiderwinch. A feature is off unless the file has its element. See docs/operate-layout.md.",
		Order: []string{"eiderwinch", "admin", "log", "class", "pools", "admission", "guard", "history", "signing", "layout", "coordinator", "gatherer", "searcher", "fleet", "seed", "slot"},
		Elements: map[string]xmlform.Element{
			"eiderwinch": {Doc: "the whole file", Children: []xmlform.Child{
				{Name: "admin", Max: 1}, {Name: "log", Max: 1}, {Name: "class", Max: 64}, {Name: "pools", Max: 1}, {Name: "admission", Max: 1},
				{Name: "guard", Max: 1}, {Name: "history", Max: 1}, {Name: "signing", Max: 1}, {Name: "layout", Max: 1}, {Name: "coordinator", Max: 1},
				{Name: "fleet", Max: 1},
			}},
			"log": {Doc: "what a gatherer logs; can change while it runs", Attributes: []xmlform.Attribute{
				{Name: "level", Kind: xmlform.Choice, Values: []string{"debug", "info", "warn", "error"}, Default: "info", Doc: "the lowest level that is logged"},
			}},
			"class": {Doc: "limits of a class of queries; can change while queries run, and each query keeps the limits that it was admitted under", Attributes: []xmlform.Attribute{
				{Name: "name", Kind: xmlform.Name, Required: true, Doc: "name of the class in the platform's configuration"},
				{Name: "within", Kind: xmlform.Duration, Min: 0.01, Max: 3600, Doc: "longest time until a query gets its final answer; at most the class's deadline, which is the default"},
				{Name: "attempts", Kind: xmlform.Count, Min: 1, Max: 16, Doc: "most attempts of each part, one after the other; at most the platform's attempts_cap, which is the default"},
				{Name: "copies", Kind: xmlform.Count, Min: 1, Max: 2, Default: "1", Doc: "attempts of a part in flight at once; the rules allow only 1"},
				{Name: "open", Kind: xmlform.Count, Min: 1, Max: 1e6, Doc: "most queries open at once; further ones are refused immediately. Without it, only the limit on all open queries and parts applies"},
			}},
			"pools": {Doc: "connections to searchers; can change while queries run", Attributes: []xmlform.Attribute{
				{Name: "multiplex", Kind: xmlform.Count, Min: 1, Max: 1024, Unit: "parts", Doc: "most parts that one connection carries at once; at most the platform's multiplex"},
				{Name: "connect-timeout", Kind: xmlform.Duration, Min: 0.001, Max: 10, Doc: "longest time that a call waits for a connection"},
				{Name: "idle", Kind: xmlform.Duration, Min: 0.1, Max: 3600, Doc: "a connection that has been idle for this long is closed; at most the platform's conn_idle, after which searchers close it"},
			}},
			"admission": {Doc: "limit on what clients may hold at once; can change while queries run", Attributes: []xmlform.Attribute{
				{Name: "open", Kind: xmlform.Count, Min: 1, Max: 1e6, Unit: "queries and parts", Doc: "most queries and parts open at once; further ones are refused immediately; at most the platform's max_open"},
			}},
			"signing": {Doc: "with it, only signed configurations can be staged", Attributes: []xmlform.Attribute{
				{Name: "keys", Kind: xmlform.Text, Required: true, Doc: "a file that follows deploy/keys.xsd, read again at each check; a relative path starts at the directory of this file"},
			}},
			"history": {Doc: "where changes of the configuration are recorded; without it they are kept in memory and lost at a restart", Attributes: []xmlform.Attribute{
				{Name: "file", Kind: xmlform.Text, Required: true, Doc: "a file on a disk that survives restarts; a relative path starts at the directory of this file"},
			}},
			"guard": {Doc: "how a change of the configuration is watched", Attributes: []xmlform.Attribute{
				{Name: "probation", Kind: xmlform.Duration, Default: "30s", Min: 1, Max: 86400, Doc: "how long a change is watched"},
				{Name: "auto", Kind: xmlform.Bool, Default: "true", Doc: "true: a change is confirmed at the end of its probation unless service has regressed; false: it is undone then unless an operator has confirmed it"},
				{Name: "chance", Kind: xmlform.Factor, Default: "0.001", Min: 1e-9, Max: 0.5, Doc: "the probability that a change without any effect is undone during its probation"},
				{Name: "points", Kind: xmlform.Share, Default: "0.05", Doc: "service counts as regressed only if the share of a class's bad queries (refused, failed, late, slow or unanswered) has risen by at least this much"},
				{Name: "slower", Kind: xmlform.Factor, Default: "1.5", Min: 1, Max: 1000, Doc: "slow queries count as a regression only if the p99 latency is at least this many times its value before the change"},
			}},
			"admin": {Doc: "a gatherer's admin socket", Attributes: []xmlform.Attribute{endpoint("where it listens; only on the machine itself, because clients are not authenticated", true)}},
			"layout": {Doc: "the layout that a gatherer binds its queries to", Attributes: []xmlform.Attribute{
				{Name: "file", Kind: xmlform.Text, Required: true, Doc: "a layout that follows deploy/layout.xsd; a relative path starts at the directory of this file"},
				{Name: "follow", Kind: xmlform.Bool, Default: "false", Doc: "take epochs from a coordinator over the admin socket, and write each to the file before it takes effect"},
			}},
			"coordinator": {Doc: "changes layouts while queries run: eiderwinch coordinate", Attributes: []xmlform.Attribute{
				endpoint("its admin socket, for layout status, apply and abort", true),
				{Name: "log", Kind: xmlform.Text, Required: true, Doc: "the file of its durable log"},
				{Name: "layout", Kind: xmlform.Text, Required: true, Doc: "the layout that a new log begins with; its list of searchers also applies to an existing log"},
				{Name: "measure", Kind: xmlform.Text, Default: "search", Doc: "the safe class whose p99 latency is measured; copying to new holders slows down when it rises"},
				{Name: "poll", Kind: xmlform.Duration, Default: "200ms", Min: 0.01, Max: 10, Doc: "interval at which gatherers and searchers are polled"},
				{Name: "timeout", Kind: xmlform.Duration, Default: "2s", Min: 0.05, Max: 60, Doc: "how long to wait for the response to a poll; a searcher that misses three in a row counts as down"},
				{Name: "per-searcher", Kind: xmlform.Count, Default: "2", Min: 1, Max: 64, Doc: "most changes that copy from or to one searcher at once"},
				{Name: "per-zone", Kind: xmlform.Count, Default: "8", Min: 1, Max: 1024, Doc: "most changes that copy from or to one data centre at once"},
				{Name: "queued", Kind: xmlform.Count, Default: "64", Min: 1, Max: 64, Doc: "most changes that have not ended; further ones are refused"},
				{Name: "lag", Kind: xmlform.Duration, Default: "50ms", Min: 0.001, Max: 10, Doc: "how far new holders may lag behind at the cut-over"},
				{Name: "fill-within", Kind: xmlform.Duration, Default: "30m", Min: 1, Max: 86400, Doc: "a change that has not been cut over this long after its start is undone"},
				{Name: "gatherer-lost", Kind: xmlform.Duration, Default: "20s", Min: 13, Max: 600, Doc: "a gatherer from which nothing was received for this long is assumed to have no open queries; must exceed the longest deadline, 12 s, plus a second for its last answer"},
				{Name: "rows", Kind: xmlform.Factor, Default: "20000", Min: 1, Max: 1e9, Unit: "rows a second to each new holder", Doc: "highest rate of copying"},
				{Name: "rows-least", Kind: xmlform.Factor, Default: "200", Min: 1, Max: 1e9, Unit: "rows a second to each new holder", Doc: "lowest rate of copying; at a lower one a change might never end"},
			}, Children: []xmlform.Child{{Name: "gatherer", Min: 1}, {Name: "searcher", Min: 1}}},
			"fleet": {Doc: "the membership view that gatherers keep of each other; each is identified by LB_NAME. Takes effect at the next start", Attributes: []xmlform.Attribute{
				{Name: "name", Kind: xmlform.Name, Required: true, Doc: "name of the fleet; messages of other fleets are dropped"},
				{Name: "listen", Kind: xmlform.Text, Required: true, Doc: "numeric address and port, for UDP and TCP, at which the others reach this gatherer"},
				{Name: "keys", Kind: xmlform.Text, Required: true, Doc: "a file that follows deploy/keys.xsd, read at the start; a relative path starts at the directory of this file"},
				{Name: "key", Kind: xmlform.Name, Required: true, Doc: "name of the key in it, of algorithm blake3, that seals messages; messages sealed with any valid key in it are accepted"},
				{Name: "links", Kind: xmlform.Choice, Values: []string{"lan", "wan"}, Default: "lan", Doc: "lan: latencies of a few milliseconds, a crash is detected after about 2 s; wan: latencies of about a hundred milliseconds and some loss, detection takes five times as long"},
				{Name: "advertise", Kind: xmlform.Text, Doc: "address at which the others reach this gatherer, if not at listen"},
				{Name: "lease", Kind: xmlform.Duration, Default: "1s", Min: 0.05, Max: 60, Doc: "with slots: how long a refused connection counts as proof that a gatherer is gone. After its start, a gatherer sends nothing to cold searchers for a little longer than the sum of this and rules.overload_for. Must be the same in all files"},
			}, Children: []xmlform.Child{{Name: "seed", Max: 64}, {Name: "slot", Max: 4096}}},
			"slot": {Doc: "the address of one gatherer by its number: while its host refuses connections to that address, the next gatherer uses its share of the capacity of cold searchers. There must be as many slots as the platform's balancers, with this gatherer's own at its listen address, the same in all files", Attributes: []xmlform.Attribute{
				{Name: "number", Kind: xmlform.Number, Required: true, Max: 4095, Doc: "its my_number in the platform's configuration"},
				{Name: "addr", Kind: xmlform.Text, Required: true, Doc: "its numeric address and port; no other process may ever listen there, and nothing on the network path may refuse connections on its behalf"},
			}},
			"seed": {Doc: "another gatherer, through which this one joins the fleet", Attributes: []xmlform.Attribute{
				{Name: "addr", Kind: xmlform.Text, Required: true, Doc: "its numeric address and port"},
			}},
			"gatherer": {Doc: "a gatherer that follows this coordinator", Attributes: process},
			"searcher": {Doc: "a searcher of the layout's fleet", Attributes: process},
		},
	}
}

// Read reads an operators' file, whose name is used only in messages. The error joins
// all faults of the file, each an xmlform.Fault.
func Read(file string, r io.Reader) (*File, error) {
	faults := &xmlform.Faults{File: file}
	root := Form().Read(r, faults)
	if root == nil {
		return nil, faults.Err()
	}
	f := &File{}
	if n := root.Child("admin"); n != nil {
		f.Admin = n.Text("endpoint")
	}
	f.readLive(root, faults)
	if n := root.Child("signing"); n != nil {
		if f.Signing = n.Text("keys"); n.Valid && f.Signing == "" {
			faults.Add(n.Line, n.Name, `keys=""`, "the name of a file")
		}
	}
	if n := root.Child("history"); n != nil {
		if f.History = n.Text("file"); n.Valid && f.History == "" {
			faults.Add(n.Line, n.Name, `file=""`, "the name of a file")
		}
	}
	f.Guard = Guard{Probation: 30 * time.Second, Auto: true}
	if n := root.Child("guard"); n != nil && n.Valid {
		f.Guard = Guard{n.Duration("probation"), n.Bool("auto"), guard.Limits{Chance: n.Float("chance"), MinIncrease: n.Float("points"), MinSlowdown: n.Float("slower")}}
	}
	if n := root.Child("layout"); n != nil {
		f.Layout, f.Follow = n.Text("file"), n.Bool("follow")
		if n.Valid && f.Layout == "" {
			faults.Add(n.Line, n.Name, `file=""`, "the name of a file")
		}
		if f.Follow && root.Child("admin") == nil {
			faults.Add(n.Line, n.Name, "follow without an admin socket", "the element admin: a coordinator sends epochs over its socket")
		}
	}
	if n := root.Child("coordinator"); n != nil {
		f.Coordinator = readCoordinator(n, faults)
	}
	if n := root.Child("fleet"); n != nil {
		f.Fleet = readFleet(n, faults)
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return f, nil
}

// readFleet reads the element fleet.
func readFleet(n *xmlform.Node, faults *xmlform.Faults) *Fleet {
	f := &Fleet{
		Name: n.Text("name"), Listen: n.Text("listen"), Keys: n.Text("keys"), Key: n.Text("key"), WAN: n.Text("links") == "wan",
		Advertise: n.Text("advertise"), Lease: n.Duration("lease"), Line: n.Line,
	}
	checkAddress := func(n *xmlform.Node, key, value string) {
		if addrPort, err := netip.ParseAddrPort(value); n.Valid && (err != nil || addrPort.Addr().IsUnspecified()) {
			faults.Add(n.Line, n.Name, fmt.Sprintf("%s=%.80q", key, value), "a numeric address that others can reach, and a port")
		}
	}
	checkAddress(n, "listen", f.Listen)
	if n.Valid && f.Keys == "" {
		faults.Add(n.Line, n.Name, `keys=""`, "the name of a file")
	}
	if f.Advertise != "" {
		checkAddress(n, "advertise", f.Advertise)
	}
	slots, lineOf := make(map[int]string), make(map[string]int)
	for _, s := range n.Children {
		addr := s.Text("addr")
		checkAddress(s, "addr", addr)
		if s.Name == "seed" {
			f.Seeds = append(f.Seeds, addr)
			continue
		}
		number := int(s.Number("number"))
		if _, ok := slots[number]; ok && s.Valid {
			faults.Add(s.Line, s.Name, fmt.Sprintf("a second slot %d", number), "each number once")
		}
		if line, ok := lineOf[addr]; ok && s.Valid {
			faults.Add(s.Line, s.Name, fmt.Sprintf("addr=%.80q, which is on line %d too", addr, line), "a different address for each slot")
		}
		slots[number], lineOf[addr] = addr, s.Line
	}
	for i := range len(slots) {
		if _, ok := slots[i]; !ok && n.Valid {
			faults.Add(n.Line, n.Name, fmt.Sprintf("%d slots without number %d", len(slots), i), "consecutive numbers from 0")
			break
		}
		f.Slots = append(f.Slots, slots[i])
	}
	return f
}

// readLive reads the settings that can change while queries run.
func (f *File) readLive(root *xmlform.Node, faults *xmlform.Faults) {
	l := &f.LiveOverrides
	if n := root.Child("log"); n != nil {
		l.Log = n.Text("level")
	}
	if n := root.Child("pools"); n != nil {
		l.Pools = Pools{int(n.Number("multiplex")), n.Duration("connect-timeout"), n.Duration("idle"), n.Line}
	}
	if n := root.Child("admission"); n != nil {
		l.Admission = Admission{int(n.Number("open")), n.Line}
	}
	seen := make(map[string]int)
	for _, n := range root.Children {
		if n.Name != "class" || !n.Valid {
			continue
		}
		c := Class{n.Text("name"), n.Duration("within"), int(n.Number("attempts")), int(n.Number("open")), n.Line}
		if line, ok := seen[c.Name]; ok {
			faults.Add(n.Line, n.Name, fmt.Sprintf("class %q, which is on line %d too", c.Name, line), "each class once")
		}
		seen[c.Name] = n.Line
		if n.Number("copies") != 1 {
			faults.Add(n.Line, n.Name, fmt.Sprintf("copies=%d", n.Number("copies")), "1: the rules allow only one attempt of a part in flight")
		}
		l.Classes = append(l.Classes, c)
	}
}

// CheckPlatform checks a file against the platform's configuration. The error joins all
// contradictions between them.
func (f *File) CheckPlatform(file string, c config.Settings) error {
	faults := &xmlform.Faults{File: file}
	for _, class := range f.LiveOverrides.Classes {
		i := slices.IndexFunc(c.Module.Classes, func(k eiderwinch.Class) bool { return k.Name == class.Name })
		if i < 0 {
			var names []string
			for _, platformClass := range c.Module.Classes {
				names = append(names, platformClass.Name)
			}
			faults.Add(class.Line, "class", fmt.Sprintf("class %q", class.Name), "one of "+strings.Join(names, ", "))
			continue
		}
		if platformClass := c.Module.Classes[i]; class.Timeout > platformClass.Deadline {
			faults.Add(class.Line, "class", fmt.Sprintf("within=%v", class.Timeout), fmt.Sprintf("at most the deadline of %s, %v", platformClass.Name, platformClass.Deadline))
		}
		if maxAttempts := c.Module.MaxAttempts; maxAttempts > 0 && class.Attempts > maxAttempts {
			faults.Add(class.Line, "class", fmt.Sprintf("attempts=%d", class.Attempts), fmt.Sprintf("at most attempts_cap, %d", maxAttempts))
		}
	}
	if fleet := f.Fleet; fleet != nil && len(fleet.Slots) > 0 {
		if have, want := len(fleet.Slots), max(c.Module.Gatherers, 1); have != want {
			faults.Add(fleet.Line, "fleet", fmt.Sprintf("%d slots", have), fmt.Sprintf("%d, the platform's balancers", want))
		} else if ownAddr := fleet.Slots[c.Module.GathererNumber]; ownAddr != fleet.Listen {
			faults.Add(fleet.Line, "fleet", fmt.Sprintf("slot %d, which is this gatherer's, at %.80q", c.Module.GathererNumber, ownAddr), fmt.Sprintf("%q, its listen address", fleet.Listen))
		}
	}
	pools, limits := f.LiveOverrides.Pools, c.Limits
	if pools.Multiplex > limits.Multiplex {
		faults.Add(pools.Line, "pools", fmt.Sprintf("multiplex=%d", pools.Multiplex), fmt.Sprintf("at most the platform's multiplex, %d", limits.Multiplex))
	}
	if pools.Idle > limits.ConnIdle {
		faults.Add(pools.Line, "pools", fmt.Sprintf("idle=%v", pools.Idle), fmt.Sprintf("at most conn_idle, %v, after which searchers close connections", limits.ConnIdle))
	}
	if open := f.LiveOverrides.Admission.Open; limits.MaxOpen > 0 && open > limits.MaxOpen {
		faults.Add(f.LiveOverrides.Admission.Line, "admission", fmt.Sprintf("open=%d", open), fmt.Sprintf("at most max_open, %d", limits.MaxOpen))
	}
	return faults.Err()
}

// readCoordinator reads the element coordinator.
func readCoordinator(n *xmlform.Node, faults *xmlform.Faults) *Coordinator {
	c := &Coordinator{
		Listen: n.Text("endpoint"), Log: n.Text("log"), Layout: n.Text("layout"), MeasuredClass: n.Text("measure"),
		Poll: n.Duration("poll"), Timeout: n.Duration("timeout"),
		Limits: reshard.Limits{
			PerSearcher: int(n.Number("per-searcher")), PerZone: int(n.Number("per-zone")), MaxOpenJobs: int(n.Number("queued")),
			MaxLag: n.Duration("lag"), FillTimeout: n.Duration("fill-within"), GathererTimeout: n.Duration("gatherer-lost"),
			MaxRate: n.Float("rows"), MinRate: n.Float("rows-least"),
		},
	}
	// At the cut-over the last report of a copy's progress must be younger than
	// MaxLagAge, and reports arrive once in each poll interval.
	c.Limits.MaxLagAge = max(time.Second, 2*c.Poll)
	if n.Valid {
		for _, name := range []string{"log", "layout"} {
			if n.Text(name) == "" {
				faults.Add(n.Line, n.Name, name+`=""`, "the name of a file")
			}
		}
		if c.Limits.MinRate > c.Limits.MaxRate {
			faults.Add(n.Line, n.Name, fmt.Sprintf("rows-least=%v", c.Limits.MinRate), fmt.Sprintf("at most rows=%v", c.Limits.MaxRate))
		}
		if c.Timeout+c.Poll >= c.Limits.GathererTimeout {
			faults.Add(n.Line, n.Name, fmt.Sprintf("timeout=%v and poll=%v", c.Timeout, c.Poll), fmt.Sprintf("less than gatherer-lost=%v together", c.Limits.GathererTimeout))
		}
	}
	seen := make(map[string]int)
	for _, p := range n.Children {
		if !p.Valid {
			continue
		}
		name := p.Text("name")
		if line, ok := seen[name]; ok {
			faults.Add(p.Line, p.Name, fmt.Sprintf("name %q, which is on line %d too", name, line), "a different name for each")
		}
		seen[name] = p.Line
		endpoint := AdminEndpoint{name, p.Text("endpoint")}
		if p.Name == "gatherer" {
			c.Gatherers = append(c.Gatherers, endpoint)
		} else {
			c.Searchers = append(c.Searchers, endpoint)
		}
	}
	return c
}
