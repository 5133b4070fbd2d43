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
		Doc:   "An experiment on the emulator of eiderwinch: scenarios, seeds and a swept attribute. See docs/emulator.md.",
		Order: []string{"experiment", "scenario", "fault", "sweep", "value"},
		Elements: map[string]xmlform.Element{
			"experiment": {Doc: "scenarios, each of which is run with each seed and each value of the sweep", Attributes: []xmlform.Attribute{
				count("seeds", "5", 1000, "runs of each scenario and value"),
				count("first", "1", 1e9, "the first seed"),
			}, Children: []xmlform.Child{{Name: "scenario", Min: 1, Max: 64}, {Name: "sweep", Max: 1}}},
			"scenario": {Doc: "one deployment and what happens to it", Attributes: []xmlform.Attribute{
				{Name: "name", Kind: xmlform.Name, Required: true, Doc: "name of the scenario in results and plots"},
				span("duration", "60s", 1, 3600, "time during which clients send queries"),
				count("gatherers", "3", 1000, "gatherers"),
				count("searchers", "12", 10000, "searchers"),
				count("zones", "3", 64, "number of data centres"),
				factor("load", "1", 0.001, 1000, "load as a multiple of the usual load for this number of searchers"),
				count("slots", "4", 256, "number of parts that a searcher serves at the same time"),
				count("queue", "64", 65536, "number of parts that can wait at a searcher; further parts are refused"),
				count("tries", "2", 16, "tries of a client for each query, including the first"),
				count("attempts", "4", 16, "attempts of each part, including the first"),
				span("lag", "200ms", 0.001, 6, "average time until a gatherer receives an update of discovery"),
				choice("layout", "how segments are placed; sets: each set of three searchers holds the same three segments; ring: two segments begin at each searcher, and the next searcher holds them too", layoutSets, layoutRing),
				choice("answers", "whole: the classes of a stock service, which need all parts, one of them with a second step; partial: batches, and wide reports that may be answered from half of their parts", answersWhole, answersPartial),
				choice("copies", "whether a part may have a second copy in flight", choiceNo, choiceYes),
				choice("cancelled", "whether a searcher drops waiting parts that are cancelled or serves them anyway", "dropped", cancelledServed),
				span("reports", "0s", 0, 60, "maximum age of the queue length that answers report for their searcher; 0s: answers carry no reports"),
				span("lease", "0s", 0, 60, "time for which a refused connection proves that a gatherer is gone, so that others use its slots of the fleet's limits; 0s: each uses its own slots only"),
				{Name: "tenants", Kind: xmlform.Number, Default: "0", Max: 64, Doc: "number of tenants, whose shares of the queries are in the ratio 1, 1/2, 1/3 ...; 0: no tenants"},
				{Name: "keys", Kind: xmlform.Number, Default: "0", Max: 1e9, Doc: "number of keys that queries are about, each with segments of its own; 0: queries are not about keys"},
			}, Children: []xmlform.Child{{Name: "fault", Max: 64}}},
			"fault": {Doc: "an injected fault", Attributes: []xmlform.Attribute{
				{Name: "kind", Kind: xmlform.Choice, Required: true, Values: []string{"crash", "pause", "slow", "drain", "cut", "flood", "restart", "kill", "focus", "swell", "stale", "lose"}, Doc: "what is affected: searchers by crash, pause, slow and drain; gatherers by restart and kill; a zone by cut; a class by flood; one key by focus; a tenant by swell; load reports by stale; answers by lose"},
				{Name: "at", Kind: xmlform.Duration, Required: true, Doc: "time from the start of the run"},
				{Name: "for", Kind: xmlform.Duration, Required: true, Doc: "duration; for drain and restart, the time within which they are affected one after the other"},
				{Name: "first", Kind: xmlform.Number, Default: "0", Doc: "number of the first that is affected; for swell, of the tenant"},
				count("many", "1", 10000, "how many are affected"),
				{Name: "zone", Kind: xmlform.Number, Default: "0", Doc: "the zone that cut separates from the others"},
				{Name: "class", Kind: xmlform.Text, Doc: "the class that flood affects"},
				factor("factor", "1", 0.001, 1000, "strength of slow, flood and swell; for focus the share of queries, for lose the share of answers, for stale the seconds"),
			}},
			"sweep": {Doc: "an attribute of the scenarios that is varied; each scenario is run with each value", Attributes: []xmlform.Attribute{
				{Name: "of", Kind: xmlform.Choice, Required: true, Values: []string{"load", "slots", "queue", "tries", "attempts"}, Doc: "name of the attribute"},
			}, Children: []xmlform.Child{{Name: "value", Min: 1, Max: 64}}},
			"value": {Doc: "one value of the swept attribute", Attributes: []xmlform.Attribute{factor("is", "1", 0.001, 65536, "the value")}},
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
			Zones: int(n.Number("zones")), SearcherSlots: int(n.Number("slots")), MaxQueue: int(n.Number("queue")), MaxTries: int(n.Number("tries")),
			MaxAttempts: int(n.Number("attempts")), DiscoveryLag: n.Duration("lag"),
			SecondCopies: n.Text("copies") == choiceYes, IgnoresCancel: n.Text("cancelled") == cancelledServed, ReportInterval: n.Duration("reports"), Lease: n.Duration("lease"),
			Tenants: int(n.Number("tenants")), Keys: int(n.Number("keys")),
		}
		if n.Text("layout") == layoutRing {
			s.Cells, s.SegmentsPerCell, s.CellsPerSegment, s.MaxPartsPerCall = s.Searchers, 2, 2, 16
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
			faults.Add(n.Line, n.Name, err.Error(), "a valid scenario")
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

// RunPoint executes one run of the experiment. Its scenario must be one of the experiment's.
func (x *Experiment) RunPoint(p Point) (*Result, error) {
	i := slices.IndexFunc(x.Scenarios, func(s Scenario) bool { return s.Name == p.Scenario })
	s := x.Scenarios[i]
	load := x.loadByScenario[s.Name]
	switch x.SweptAttribute {
	case "load":
		load *= p.Value
	case "slots":
		s.SearcherSlots = int(p.Value)
	case "queue":
		s.MaxQueue = int(p.Value)
	case "tries":
		s.MaxTries = int(p.Value)
	case "attempts":
		s.MaxAttempts = int(p.Value)
	}
	s.Classes = x.classes(s)
	for i := range s.Classes {
		s.Classes[i].Rate *= load * float64(s.Searchers) / referenceSearchers
	}
	return Run(s, p.Seed)
}
