package experiment

import (
	"cmp"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"eiderwinch/internal/trial/testcluster"
)

// fleetPage is the template of the report on a fleet.
const fleetPage = pageHead + `<p>{{.Processes}} processes, {{.Faults}} faults among them{{if .Audit}}, <strong class="bad">{{len .Audit}} findings of the audit</strong>{{else}}, nothing found by the audit{{end}}.</p>
{{range .Audit}}<p class="bad">{{.}}</p>
{{end}}<table><tr><th>fault</th><th>settled</th><th>times</th><th>median, ms</th><th>worst, ms</th></tr>
{{range .Settled}}<tr><td>{{.Kind}}</td><td>{{.When}}</td><td>{{len .MS}}</td><td>{{.Median}}</td><td>{{.Worst}}</td></tr>
{{end}}</table>
` + pageFoot

// convergenceTimes holds how long a fleet took to converge after the faults of one kind, in milliseconds.
type convergenceTimes struct {
	Kind testcluster.Kind
	When string
	MS   []int64
}

// Median returns the median of the sorted times.
func (s convergenceTimes) Median() int64 { return s.MS[len(s.MS)/2] }

// Worst returns the longest of the sorted times.
func (s convergenceTimes) Worst() int64 { return s.MS[len(s.MS)-1] }

// FleetReport writes a report on the history of a test cluster as one page of HTML that refers to no other file. It
// shows how long the fleet took to converge after faults, and, over time, how many gatherers each gatherer counted as
// members, how many slots it held and how much it sent.
func FleetReport(w io.Writer, title string, list []testcluster.Entry) error {
	data := struct {
		Title             string
		Processes, Faults int
		Audit             []string
		Settled           []convergenceTimes
		Plots             []figure
	}{Title: title}
	indexByName := make(map[string]int) // of gatherers, in the order of their names
	var names []string
	for _, e := range list {
		name, _, process := strings.Cut(e.Who, "-")
		switch {
		case e.Who == "audit":
			data.Audit = append(data.Audit, e.What)
		case e.Kind != "":
			i := slices.IndexFunc(data.Settled, func(s convergenceTimes) bool { return s.Kind == e.Kind && s.When == e.When })
			if i < 0 {
				i = len(data.Settled)
				data.Settled = append(data.Settled, convergenceTimes{Kind: e.Kind, When: e.When})
			}
			data.Settled[i].MS = append(data.Settled[i].MS, e.TookMS)
		case e.What == "starts":
			data.Processes++
		case e.Who == "rig" && strings.HasSuffix(e.What, " is over"):
			data.Faults++
		}
		if process && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b)) })
	for i, name := range names {
		indexByName[name] = i
	}
	for _, s := range data.Settled {
		slices.Sort(s.MS)
	}
	for _, f := range []struct {
		caption, axis string
		value         func(e, previous testcluster.Entry) (float64, bool)
	}{
		{"gatherers that each one counts, over time", "counted", func(e, _ testcluster.Entry) (float64, bool) { return float64(e.Counted), true }},
		{"slots of the fleet's limits that each one holds, over time", "slots", func(e, _ testcluster.Entry) (float64, bool) { return float64(e.Slots), true }},
		{"bytes a second that each one sends to the others, over time", "bytes a second", func(e, previous testcluster.Entry) (float64, bool) {
			seconds := float64(e.MS-previous.MS) / 1000
			return float64(e.Bytes-previous.Bytes) / seconds, previous.Who == e.Who && seconds >= 0.2
		}},
	} {
		p, err := plotByGatherer(f.axis, indexByName, list, f.value)
		if err != nil {
			return fmt.Errorf("plot %q: %w", f.caption, err)
		}
		svg, err := renderSVG(p)
		if err != nil {
			return fmt.Errorf("plot %q: %w", f.caption, err)
		}
		data.Plots = append(data.Plots, figure{f.caption, svg})
	}
	t, err := template.New("fleet").Parse(fleetPage)
	if err != nil {
		return err
	}
	return t.Execute(w, data)
}

// plotByGatherer plots a value over time, with one line for each gatherer. value returns the value of an entry, given
// the gatherer's previous entry; ok is false if the entry has none.
func plotByGatherer(axis string, indexByName map[string]int, list []testcluster.Entry, value func(e, previous testcluster.Entry) (float64, bool)) (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "second", axis
	p.Y.Min = 0
	lines, previous := make([]plotter.XYs, len(indexByName)), make([]testcluster.Entry, len(indexByName))
	for _, e := range list {
		if e.Digest == "" {
			continue
		}
		name, _, _ := strings.Cut(e.Who, "-")
		i := indexByName[name]
		if y, ok := value(e, previous[i]); ok {
			lines[i] = append(lines[i], plotter.XY{X: float64(e.MS) / 1000, Y: y})
		}
		previous[i] = e
	}
	for i, points := range lines {
		if len(points) == 0 {
			continue
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		l.StepStyle, l.Color = plotter.PostStep, plotutil.Color(i)
		p.Add(l)
	}
	return p, nil
}
