package experiment

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/moreland"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Templates of the start and the end of each page. The plots are at the end.
const (
	pageHead = `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<meta name="viewport" content="width=device-width, initial-scale=1">
<style>
body{font:16px/1.5 system-ui,sans-serif;max-width:60rem;margin:2rem auto;padding:0 1rem;color:#222}
h1,h2{line-height:1.2}table{border-collapse:collapse;font-size:.9rem;margin:1rem 0;display:block;overflow-x:auto}
td,th{padding:.25rem .6rem;border-bottom:1px solid #ddd;text-align:right}td:first-child,th:first-child,.text{text-align:left}
figure{margin:1.5rem 0}figcaption{color:#555;font-size:.9rem}svg{max-width:100%;height:auto}.bad{color:#a00}
</style></head><body>
<h1>{{.Title}}</h1>
`
	pageFoot = `{{range .Plots}}<figure>{{.SVG}}<figcaption>{{.Caption}}</figcaption></figure>
{{end}}</body></html>
`
)

// experimentPage is the template of the report on an experiment.
const experimentPage = pageHead + `<p>{{.Runs}} runs, {{.Events}} events of the model, {{.Turns}} turns of the gatherers{{if .Breaches}}, <strong class="bad">{{.Breaches}} breaches of rules</strong>{{else}}, no rule broken{{end}}. Intervals hold the mean with 95% confidence over seeds.</p>
<h2>Figures</h2>
<table><tr><th>scenario</th><th>{{.Attribute}}</th><th class="text">class</th><th>runs</th><th>in time</th><th>refused</th><th>failed</th><th>p99, ms</th></tr>
{{range .Groups}}<tr><td>{{.Scenario}}</td><td>{{if $.Swept}}{{.Value}}{{end}}</td><td class="text">{{.Class}}</td><td>{{.Runs}}</td><td>{{percent .InTime}}</td><td>{{percent .Refused}}</td><td>{{percent .Failed}}</td><td>{{plain .P99}}</td></tr>
{{end}}</table>
` + pageFoot

// figure is a rendered plot with its caption.
type figure struct {
	Caption string
	SVG     template.HTML
}

// Report writes a report on runs as one page of HTML that refers to no other file.
// attribute is the swept attribute; empty if there is no sweep.
func Report(w io.Writer, title, attribute string, runs []Run) error {
	data := struct {
		Title, Attribute string
		Swept            bool
		Runs             int
		Events, Turns    uint64
		Breaches         int
		Groups           []Group
		Plots            []figure
	}{Title: title, Attribute: attribute, Swept: attribute != "", Runs: len(runs), Groups: Groups(runs)}
	for _, r := range runs {
		data.Events, data.Turns, data.Breaches = data.Events+r.Events, data.Turns+r.Turns, data.Breaches+r.Breaches
	}
	addPlot := func(caption string, p *plot.Plot, err error) error {
		if err != nil {
			return fmt.Errorf("plot %q: %w", caption, err)
		}
		svg, err := renderSVG(p)
		if err != nil {
			return fmt.Errorf("plot %q: %w", caption, err)
		}
		data.Plots = append(data.Plots, figure{caption, svg})
		return nil
	}
	for _, s := range distinct(runs, func(r Run) string { return r.Scenario }) {
		if attribute != "" {
			p, err := plotSweep(s, attribute, data.Groups)
			if err := addPlot(fmt.Sprintf("%s: share answered in time over %s, by class, with 95%% confidence", s, attribute), p, err); err != nil {
				return err
			}
		}
		for _, v := range distinct(runs, func(r Run) float64 { return r.Value }) {
			label := s
			if attribute != "" {
				label = fmt.Sprintf("%s, %s %g", s, attribute, v)
			}
			var selected []Run
			for _, r := range runs {
				if r.Scenario == s && r.Value == v {
					selected = append(selected, r)
				}
			}
			p, err := plotOverTime(label, selected)
			if err := addPlot(label+": share of the queries asked in each second that were answered in time, all seeds together", p, err); err != nil {
				return err
			}
			if len(selected) > 0 && len(selected[0].Load) > 0 {
				p, err := plotLoad(label, selected[0].Load)
				if err := addPlot(label+": parts sent to each searcher in each second, of the first seed; the darker the more", p, err); err != nil {
					return err
				}
			}
		}
	}
	t, err := template.New("page").Funcs(template.FuncMap{
		"percent": func(i Interval) string {
			return fmt.Sprintf("%.2f%% (%.2f to %.2f)", 100*i.Mean, 100*i.Low, 100*i.High)
		},
		"plain": func(i Interval) string { return fmt.Sprintf("%.0f (%.0f to %.0f)", i.Mean, i.Low, i.High) },
	}).Parse(experimentPage)
	if err != nil {
		return err
	}
	return t.Execute(w, data)
}

// renderSVG renders a plot as an SVG element.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(18*vg.Centimeter, 8*vg.Centimeter)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i >= 0 { // remove the XML header
		text = text[i:]
	}
	return template.HTML(text), nil //nolint:gosec // the SVG consists of numbers and escaped names
}

// plotOverTime plots the share of the queries asked in each second that were answered in time, over all runs, with one
// line for each class.
func plotOverTime(title string, runs []Run) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "second", "in time"
	p.Y.Min, p.Y.Max = 0, 1.02
	p.Legend.Top = false
	for i := range runs[0].Rows {
		var line plotter.XYs
		for second := range runs[0].Rows[i].Seconds {
			asked, inTime := 0, 0
			for _, r := range runs {
				asked += r.Rows[i].Seconds[second].Asked
				inTime += r.Rows[i].Seconds[second].InTime
			}
			if asked > 0 {
				line = append(line, plotter.XY{X: float64(second), Y: float64(inTime) / float64(asked)})
			}
		}
		l, err := plotter.NewLine(line)
		if err != nil {
			return nil, err
		}
		l.Color = plotutil.Color(i)
		p.Add(l)
		p.Legend.Add(runs[0].Rows[i].Class, l)
	}
	return p, nil
}

// plotSweep plots the share of queries that were answered in time against the swept values, with one line and its
// confidence band for each class.
func plotSweep(scenario, attribute string, groups []Group) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = scenario, attribute, "in time"
	byClass := make(map[string][]Group)
	var classes []string
	for _, g := range groups {
		if g.Scenario != scenario {
			continue
		}
		if byClass[g.Class] == nil {
			classes = append(classes, g.Class)
		}
		byClass[g.Class] = append(byClass[g.Class], g)
	}
	for i, class := range classes {
		var means, band plotter.XYs
		list := byClass[class]
		for _, g := range list {
			means = append(means, plotter.XY{X: g.Value, Y: g.InTime.Mean})
			band = append(band, plotter.XY{X: g.Value, Y: math.Min(g.InTime.High, 1)})
		}
		for j := len(list) - 1; j >= 0; j-- {
			band = append(band, plotter.XY{X: list[j].Value, Y: math.Max(list[j].InTime.Low, 0)})
		}
		area, err := plotter.NewPolygon(band)
		if err != nil {
			return nil, err
		}
		r, g, b, _ := plotutil.Color(i).RGBA()
		area.Color = color.NRGBA{uint8(r >> 8), uint8(g >> 8), uint8(b >> 8), 50}
		area.LineStyle.Width = 0
		line, points, err := plotter.NewLinePoints(means)
		if err != nil {
			return nil, err
		}
		line.Color, points.Color = plotutil.Color(i), plotutil.Color(i)
		p.Add(area, line, points)
		p.Legend.Add(class, line, points)
	}
	return p, nil
}

// grid is the number of parts by searcher and second. It implements plotter.GridXYZ.
type grid [][]int

func (g grid) Dims() (c, r int)   { return len(g[0]), len(g) }
func (g grid) Z(c, r int) float64 { return float64(g[r][c]) }
func (g grid) X(c int) float64    { return float64(c) }
func (g grid) Y(r int) float64    { return float64(r) }

// plotLoad plots the parts that each searcher received in each second as a heat map.
func plotLoad(title string, load [][]int) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "second", "searcher"
	h := plotter.NewHeatMap(grid(load), moreland.SmoothBlueRed().Palette(64))
	if h.Max <= h.Min { // the plotter can't draw a map of a single value
		h.Max = h.Min + 1
	}
	p.Add(h)
	return p, nil
}
