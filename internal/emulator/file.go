package emulator

import (
	"io"
	"slices"

	"eiderwinch/internal/xmlform"
)

// Namespace names the form of scenario files.
const Namespace = "urn:eiderwinch:scenario:1"

// Form returns the form of scenario files, of which deploy/scenario.xsd is made.
func Form() *xmlform.Form {
	span := func(name, def string, least, most float64, doc string) xmlform.Attribute {
		return xmlform.Attribute{Name: name, Kind: xmlform.Span, Default: def, Least: least, Most: most, Doc: doc}
	}
	count := func(name, def string, most float64, doc string) xmlform.Attribute {
		return xmlform.Attribute{Name: name, Kind: xmlform.Count, Default: def, Least: 1, Most: most, Doc: doc}
	}
	factor := func(name, def string, least, most float64, doc string) xmlform.Attribute {
		return xmlform.Attribute{Name: name, Kind: xmlform.Factor, Default: def, Least: least, Most: most, Doc: doc}
	}
	return &xmlform.Form{
		Namespace: Namespace, Root: "experiment", Depth: 3,
		Doc:   "An experiment on the emulator of eiderwinch: scenarios, seeds and what is swept. See docs/emulator.md.",
		Order: []string{"experiment", "scenario", "fault", "sweep", "value"},
		Elements: map[string]xmlform.Element{
			"experiment": {Doc: "scenarios that are each played from some seeds, for each value of each sweep", Attributes: []xmlform.Attribute{
				count("seeds", "5", 1000, "runs of each scenario and value"),
				count("first", "1", 1e9, "the first seed"),
			}, Children: []xmlform.Child{{Name: "scenario", Least: 1, Most: 64}, {Name: "sweep", Most: 1}}},
			"scenario": {Doc: "one deployment and what happens to it", Attributes: []xmlform.Attribute{
				{Name: "name", Kind: xmlform.Name, Required: true, Doc: "in results and plots"},
				span("duration", "60s", 1, 3600, "clients ask for so long"),
				count("gatherers", "3", 1000, "gatherers"),
				count("searchers", "12", 10000, "searchers"),
				count("zones", "3", 64, "data centres"),
				factor("load", "1", 0.001, 1000, "times the usual load for so many searchers"),
				count("slots", "4", 256, "parts that a searcher serves at once"),
				count("queue", "64", 65536, "parts that wait at a searcher; more are turned away"),
				count("tries", "2", 16, "of a client, the first included"),
				count("attempts", "4", 16, "of a part"),
				span("lag", "200ms", 0.001, 6, "of discovery, on average"),
			}, Children: []xmlform.Child{{Name: "fault", Most: 64}}},
			"fault": {Doc: "something that goes wrong", Attributes: []xmlform.Attribute{
				{Name: "kind", Kind: xmlform.Choice, Required: true, Values: []string{"crash", "pause", "slow", "drain", "cut", "flood", "restart"}, Doc: "crash, pause, slow and drain are of searchers, restart of gatherers, cut of a zone, flood of a class"},
				{Name: "at", Kind: xmlform.Span, Required: true, Doc: "from the beginning of the run on"},
				{Name: "for", Kind: xmlform.Span, Required: true, Doc: "it lasts; of drain and restart, within which one after the other is hit"},
				{Name: "first", Kind: xmlform.Number, Default: "0", Doc: "the number of the first that is hit"},
				count("many", "1", 10000, "are hit"),
				{Name: "zone", Kind: xmlform.Number, Default: "0", Doc: "that is cut off"},
				{Name: "class", Kind: xmlform.Text, Doc: "that is flooded"},
				factor("factor", "1", 0.001, 1000, "of slow and flood"),
			}},
			"sweep": {Doc: "an attribute of the scenarios that takes several values", Attributes: []xmlform.Attribute{
				{Name: "of", Kind: xmlform.Choice, Required: true, Values: []string{"load", "slots", "queue", "tries", "attempts"}, Doc: "which attribute"},
			}, Children: []xmlform.Child{{Name: "value", Least: 1, Most: 64}}},
			"value": {Doc: "one value of it", Attributes: []xmlform.Attribute{factor("is", "1", 0.001, 65536, "the value")}},
		},
	}
}

// Experiment is what a file asks for.
type Experiment struct {
	Scenarios []Scenario
	Seeds     []uint64
	Of        string    // what is swept; empty: nothing
	Values    []float64 // of it
	base      map[string]float64
}

// ReadExperiment reads a file, whose name is for messages only. The error joins all
// its faults.
func ReadExperiment(file string, r io.Reader) (*Experiment, error) {
	faults := &xmlform.Faults{File: file}
	root := Form().Read(r, faults)
	if root == nil || faults.Count() > 0 {
		return nil, faults.Err()
	}
	x := &Experiment{Values: []float64{0}, base: make(map[string]float64)}
	for i := range root.Number("seeds") {
		x.Seeds = append(x.Seeds, root.Number("first")+i)
	}
	if n := root.Child("sweep"); n != nil {
		x.Of, x.Values = n.Text("of"), nil
		for _, v := range n.Children {
			x.Values = append(x.Values, v.Float("is"))
		}
	}
	for _, n := range root.Children {
		if n.Name != "scenario" {
			continue
		}
		s := Scenario{
			Name: n.Text("name"), Duration: n.Span("duration"), Gatherers: int(n.Number("gatherers")), Searchers: int(n.Number("searchers")),
			Zones: int(n.Number("zones")), Slots: int(n.Number("slots")), Queue: int(n.Number("queue")), Tries: int(n.Number("tries")),
			Attempts: int(n.Number("attempts")), Lag: n.Span("lag"), Classes: Usual(),
		}
		if slices.ContainsFunc(x.Scenarios, func(o Scenario) bool { return o.Name == s.Name }) {
			faults.Add(n.Line, n.Name, "a second scenario "+s.Name, "a name of its own")
		}
		x.base[s.Name] = n.Float("load")
		for _, f := range n.Children {
			s.Faults = append(s.Faults, Fault{
				Kind: FaultKind(f.Text("kind")), At: f.Span("at"), For: f.Span("for"), First: int(f.Number("first")), Many: int(f.Number("many")),
				Zone: int(f.Number("zone")), Class: f.Text("class"), Factor: f.Float("factor"),
			})
		}
		if _, err := s.complete(); err != nil {
			faults.Add(n.Line, n.Name, err.Error(), "a scenario that can be played")
		}
		x.Scenarios = append(x.Scenarios, s)
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return x, nil
}

// usualSearchers is how many searchers Usual's load is for.
const usualSearchers = 12

// Point is one run of an experiment.
type Point struct {
	Scenario string  `json:"scenario"`
	Value    float64 `json:"value"` // of what is swept
	Seed     uint64  `json:"seed"`
}

// Points are all its runs, in order.
func (x *Experiment) Points() (out []Point) {
	for _, s := range x.Scenarios {
		for _, v := range x.Values {
			for _, seed := range x.Seeds {
				out = append(out, Point{s.Name, v, seed})
			}
		}
	}
	return out
}

// Play plays one run.
func (x *Experiment) Play(p Point) (*Result, error) {
	i := slices.IndexFunc(x.Scenarios, func(s Scenario) bool { return s.Name == p.Scenario })
	s := x.Scenarios[i]
	load := x.base[s.Name]
	switch x.Of {
	case "load":
		load *= p.Value
	case "slots":
		s.Slots = int(p.Value)
	case "queue":
		s.Queue = int(p.Value)
	case "tries":
		s.Tries = int(p.Value)
	case "attempts":
		s.Attempts = int(p.Value)
	}
	s.Classes = Usual()
	for i := range s.Classes {
		s.Classes[i].Rate *= load * float64(s.Searchers) / usualSearchers
	}
	return Run(s, p.Seed)
}
