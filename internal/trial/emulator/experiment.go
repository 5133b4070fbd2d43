package emulator

import (
	"io"
	"slices"

	"eiderwinch/internal/format/xmlform"
)

// Namespace is the XML namespace of scenario files.
const Namespace = "urn:eiderwinch:scenario:1"

// Form returns the form of scenario files. deploy/scenario.xsd is generated from it.
func Form() *xmlform.Form {
	span := func(name, def string, minValue, maxValue float64, doc string) xmlform.Attribute {
		return xmlform.Attribute{Name: name, Kind: xmlform.Duration, Default: def, Min: minValue, Max: maxValue, Doc: doc}
	}
	count := func(name, def string, maxValue float64, doc string) xmlform.Attribute {
		return xmlform.Attribute{Name: name, Kind: xmlform.Count, Default: def, Min: 1, Max: maxValue, Doc: doc}
	}
	factor := func(name, def string, minValue, maxValue float64, doc string) xmlform.Attribute {
		return xmlform.Attribute{Name: name, Kind: xmlform.Factor, Default: def, Min: minValue, Max: maxValue, Doc: doc}
	}
	choice := func(name, doc string, values ...string) xmlform.Attribute { // the first is the default
		return xmlform.Attribute{Name: name, Kind: xmlform.Choice, Default: values[0], Values: values, Doc: doc}
	}
	return &xmlform.Form{
		Namespace: Namespace, Root: "experiment", Depth: 3,
		Doc:   "An experiment on the emulator of eiderwinch: scenarios, seeds and what is swept. See docs/emulator.md.",
		Order: []string{"experiment", "scenario", "fault", "sweep", "value"},
		Elements: map[string]xmlform.Element{
			"experiment": {Doc: "scenarios that are each played from some seeds, for each value of each sweep", Attributes: []xmlform.Attribute{
				count("seeds", "5", 1000, "runs of each scenario and value"),
				count("first", "1", 1e9, "the first seed"),
			}, Children: []xmlform.Child{{Name: "scenario", Min: 1, Max: 64}, {Name: "sweep", Max: 1}}},
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
				choice("layout", "of the segments: sets of three searchers hold the same three, or in a ring two begin at each searcher and the next holds them as well", layoutSets, layoutRing),
				choice("answers", "whole: classes of a stock service, which need all parts, one of them with a second step; partial: batches, and wide reports that may be answered from half", answersWhole, answersPartial),
				choice("copies", "whether a part may have a second copy out", choiceNo, choiceYes),
				choice("cancelled", "whether waiting work that is cancelled is dropped or served all the same", "dropped", cancelledServed),
				span("reports", "0s", 0, 60, "the age up to which answers carry their searcher's queue; 0s: none do"),
				span("lease", "0s", 0, 60, "gatherers use the slots of the fleet's limits of those that are gone, known by refusals that hold for so long; 0s: each its own"),
				{Name: "tenants", Kind: xmlform.Number, Default: "0", Max: 64, Doc: "with shares that fall as 1, 1/2, 1/3; 0: none"},
				{Name: "keys", Kind: xmlform.Number, Default: "0", Max: 1e9, Doc: "that queries are about, each with segments of its own; 0: none"},
			}, Children: []xmlform.Child{{Name: "fault", Max: 64}}},
			"fault": {Doc: "something that goes wrong", Attributes: []xmlform.Attribute{
				{Name: "kind", Kind: xmlform.Choice, Required: true, Values: []string{"crash", "pause", "slow", "drain", "cut", "flood", "restart", "kill", "focus", "swell", "stale", "lose"}, Doc: "crash, pause, slow and drain are of searchers, restart and kill of gatherers, cut of a zone, flood of a class, focus of one key, swell of a tenant, stale of load reports, lose of answers"},
				{Name: "at", Kind: xmlform.Duration, Required: true, Doc: "from the beginning of the run on"},
				{Name: "for", Kind: xmlform.Duration, Required: true, Doc: "it lasts; of drain and restart, within which one after the other is hit"},
				{Name: "first", Kind: xmlform.Number, Default: "0", Doc: "the number of the first that is hit; of swell, the tenant"},
				count("many", "1", 10000, "are hit"),
				{Name: "zone", Kind: xmlform.Number, Default: "0", Doc: "that is cut off"},
				{Name: "class", Kind: xmlform.Text, Doc: "that is flooded"},
				factor("factor", "1", 0.001, 1000, "of slow, flood and swell; of focus the share of queries, of lose that of answers, of stale the seconds"),
			}},
			"sweep": {Doc: "an attribute of the scenarios that takes several values", Attributes: []xmlform.Attribute{
				{Name: "of", Kind: xmlform.Choice, Required: true, Values: []string{"load", "slots", "queue", "tries", "attempts"}, Doc: "which attribute"},
			}, Children: []xmlform.Child{{Name: "value", Min: 1, Max: 64}}},
			"value": {Doc: "one value of it", Attributes: []xmlform.Attribute{factor("is", "1", 0.001, 65536, "the value")}},
		},
	}
}

// Experiment is a set of scenarios, each to be run with several seeds and for several values of one attribute.
type Experiment struct {
	Scenarios      []Scenario
	Seeds          []uint64
	SweptAttribute string             // the attribute that is swept; empty if there is no sweep
	Values         []float64          // the values of the swept attribute; a single 0 if there is no sweep
	loadByScenario map[string]float64 // factor on the rates of its classes
	partialAnswers map[string]bool    // by scenario: whether its answers may be partial
}

// Values of the attributes of a scenario.
const (
	layoutSets, layoutRing       = "sets", "ring"
	answersWhole, answersPartial = "whole", "partial"
	choiceNo, choiceYes          = "no", "yes"
	cancelledServed              = "served"
)

// classes returns the classes of a scenario, at the load for referenceSearchers.
func (x *Experiment) classes(s Scenario) []Class {
	if !x.partialAnswers[s.Name] {
		return StockClasses()
	}
	cells, perCell := s.Cells, s.SegmentsPerCell
	if cells == 0 { // the defaults are not filled in yet
		cells, perCell = max(s.Searchers/3, 1), 3
	}
	return ArchiveClasses(cells * perCell)
}

// ReadExperiment reads the file of an experiment. Its name is used in error messages
// only. The error joins all faults of the file.
func ReadExperiment(file string, r io.Reader) (*Experiment, error) {
	faults := &xmlform.Faults{File: file}
	root := Form().Read(r, faults)
	if root == nil || faults.Count() > 0 {
		return nil, faults.Err()
	}
	x := &Experiment{Values: []float64{0}, loadByScenario: make(map[string]float64), partialAnswers: make(map[string]bool)}
	for i := range root.Number("seeds") {
		x.Seeds = append(x.Seeds, root.Number("first")+i)
	}
	if n := root.Child("sweep"); n != nil {
		x.SweptAttribute, x.Values = n.Text("of"), nil
		for _, v := range n.Children {
			x.Values = append(x.Values, v.Float("is"))
		}
	}
	for _, n := range root.Children {
		if n.Name != "scenario" {
			continue
		}
		s := Scenario{
			Name: n.Text("name"), Duration: n.Duration("duration"), Gatherers: int(n.Number("gatherers")), Searchers: int(n.Number("searchers")),
			Zones: int(n.Number("zones")), Slots: int(n.Number("slots")), Queue: int(n.Number("queue")), Tries: int(n.Number("tries")),
			Attempts: int(n.Number("attempts")), DiscoveryLag: n.Duration("lag"),
			SecondCopies: n.Text("copies") == choiceYes, IgnoresCancel: n.Text("cancelled") == cancelledServed, ReportInterval: n.Duration("reports"), Lease: n.Duration("lease"),
			Tenants: int(n.Number("tenants")), Keys: int(n.Number("keys")),
		}
		if n.Text("layout") == layoutRing {
			s.Cells, s.SegmentsPerCell, s.Reach, s.Batch = s.Searchers, 2, 2, 16
		}
		x.partialAnswers[s.Name] = n.Text("answers") == answersPartial
		s.Classes = x.classes(s)
		if slices.ContainsFunc(x.Scenarios, func(other Scenario) bool { return other.Name == s.Name }) {
			faults.Add(n.Line, n.Name, "a second scenario "+s.Name, "each name once")
		}
		x.loadByScenario[s.Name] = n.Float("load")
		for _, f := range n.Children {
			s.Faults = append(s.Faults, Fault{
				Kind: FaultKind(f.Text("kind")), At: f.Duration("at"), For: f.Duration("for"), First: int(f.Number("first")), Count: int(f.Number("many")),
				Zone: int(f.Number("zone")), Class: f.Text("class"), Factor: f.Float("factor"),
			})
		}
		if _, err := s.normalize(); err != nil {
			faults.Add(n.Line, n.Name, err.Error(), "a scenario that can be played")
		}
		x.Scenarios = append(x.Scenarios, s)
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return x, nil
}

// referenceSearchers is the number of searchers that the load of StockClasses and ArchiveClasses is for. The load
// of a scenario grows in proportion to its searchers.
const referenceSearchers = 12

// Point identifies one run of an experiment.
type Point struct {
	Scenario string  `json:"scenario"`
	Value    float64 `json:"value"` // of the swept attribute; 0 if there is no sweep
	Seed     uint64  `json:"seed"`
}

// Points returns all runs of the experiment, in order.
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

// RunPoint executes one run of the experiment.
func (x *Experiment) RunPoint(p Point) (*Result, error) {
	i := slices.IndexFunc(x.Scenarios, func(s Scenario) bool { return s.Name == p.Scenario })
	s := x.Scenarios[i]
	load := x.loadByScenario[s.Name]
	switch x.SweptAttribute {
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
	s.Classes = x.classes(s)
	for i := range s.Classes {
		s.Classes[i].Rate *= load * float64(s.Searchers) / referenceSearchers
	}
	return Run(s, p.Seed)
}
