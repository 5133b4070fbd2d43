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

	"eiderwinch/internal/trial/rig"
)

const fleetPage = head + `<p>{{.Processes}} processes, {{.Faults}} faults among them{{if .Audit}}, <strong class="bad">{{len .Audit}} findings of the audit</strong>{{else}}, nothing found by the audit{{end}}.</p>
{{range .Audit}}<p class="bad">{{.}}</p>
{{end}}<table><tr><th>fault</th><th>settled</th><th>times</th><th>median, ms</th><th>worst, ms</th></tr>
{{range .Settled}}<tr><td>{{.Kind}}</td><td>{{.When}}</td><td>{{len .MS}}</td><td>{{.Median}}</td><td>{{.Worst}}</td></tr>
{{end}}</table>
` + foot

// settled is how long a fleet took after faults of a kind.
type settled struct {
	Kind rig.Kind
	When string
	MS   []int64
}

// Median and Worst are of times in order.
func (s settled) Median() int64 { return s.MS[len(s.MS)/2] }
func (s settled) Worst() int64  { return s.MS[len(s.MS)-1] }

// FleetReport writes the history of a rig as one page of HTML that needs no other file: how long the
// fleet took to settle, and what each gatherer counted, held and sent over time.
func FleetReport(w io.Writer, title string, list []rig.Entry) error {
	data := struct {
		Title             string
		Processes, Faults int
		Audit             []string
		Settled           []settled
		Plots             []figure
	}{Title: title}
	places := make(map[string]int) // gatherers, by the order of their names
	var names []string
	for _, e := range list {
		name, _, process := strings.Cut(e.Who, "-")
		switch {
		case e.Who == "audit":
			data.Audit = append(data.Audit, e.What)
		case e.Kind != "":
			i := slices.IndexFunc(data.Settled, func(s settled) bool { return s.Kind == e.Kind && s.When == e.When })
			if i < 0 {
				i = len(data.Settled)
				data.Settled = append(data.Settled, settled{Kind: e.Kind, When: e.When})
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
		places[name] = i
	}
	for _, s := range data.Settled {
		slices.Sort(s.MS)
	}
	for _, f := range []struct {
		caption, axis string
		value         func(e, before rig.Entry) (float64, bool)
	}{
		{"gatherers that each one counts, over time", "counted", func(e, _ rig.Entry) (float64, bool) { return float64(e.Counted), true }},
		{"slots of the fleet's limits that each one holds, over time", "slots", func(e, _ rig.Entry) (float64, bool) { return float64(e.Slots), true }},
		{"bytes a second that each one sends to the others, over time", "bytes a second", func(e, before rig.Entry) (float64, bool) {
			span := float64(e.MS-before.MS) / 1000
			return float64(e.Bytes-before.Bytes) / span, before.Who == e.Who && span >= 0.2
		}},
	} {
		p, err := fleetLines(f.axis, places, list, f.value)
		if err != nil {
			return fmt.Errorf("plot %q: %w", f.caption, err)
		}
		svg, err := render(p)
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

// fleetLines plots a line for each gatherer.
func fleetLines(axis string, places map[string]int, list []rig.Entry, value func(e, before rig.Entry) (float64, bool)) (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "second", axis
	p.Y.Min = 0
	lines, before := make([]plotter.XYs, len(places)), make([]rig.Entry, len(places))
	for _, e := range list {
		if e.Digest == "" {
			continue
		}
		name, _, _ := strings.Cut(e.Who, "-")
		i := places[name]
		if y, ok := value(e, before[i]); ok {
			lines[i] = append(lines[i], plotter.XY{X: float64(e.MS) / 1000, Y: y})
		}
		before[i] = e
	}
	for i, xys := range lines {
		if len(xys) == 0 {
			continue
		}
		l, err := plotter.NewLine(xys)
		if err != nil {
			return nil, err
		}
		l.StepStyle, l.Color = plotter.PostStep, plotutil.Color(i)
		p.Add(l)
	}
	return p, nil
}
