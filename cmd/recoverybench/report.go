package main

import (
	"bufio"
	"bytes"
	"cmp"
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"os"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

type reportCommand struct {
	In  []string `arg:"" type:"existingfile" help:"Measured files."`
	Out string   `required:"" placeholder:"FILE" help:"The HTML page."`
}

// Run generates the HTML page.
func (c *reportCommand) Run() error {
	var all []Measurement
	for _, name := range c.In {
		list, err := readMeasurements(name)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, list...)
	}
	rows := summarize(all)
	page := reportPage{Rows: rows}
	for _, kind := range kinds(rows) {
		for _, f := range figures {
			svg, err := drawFigure(rows, kind, f)
			if err != nil {
				return err
			}
			page.Plots = append(page.Plots, svg)
		}
	}
	var out bytes.Buffer
	if err := reportTemplate.Execute(&out, page); err != nil {
		return err
	}
	return os.WriteFile(c.Out, out.Bytes(), 0o644)
}

func readMeasurements(name string) (list []Measurement, err error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var m Measurement
		if err := json.Unmarshal(lines.Bytes(), &m); err != nil {
			return nil, err
		}
		list = append(list, m)
	}
	return list, lines.Err()
}

// row summarizes the runs of one program with one number of machines. Its figures are means of
// the runs, except for the sums of duplicate starts and broken rules.
type row struct {
	Kind, Source            string
	Machines, Runs          int
	Tasks, Needed           float64
	Duplicates, RulesBroken int // sums over all runs
	Excess                  float64
	ExcessStarts            float64
	ExcessStops             float64
	ExcessForgets           float64
	KeptPercent             float64
	First, Last             float64 // seconds
	Requests, Changes       float64
}

// summarize returns a row for each kind of measurement, program and number of machines.
func summarize(all []Measurement) (rows []row) {
	for _, m := range all {
		index := slices.IndexFunc(rows, func(r row) bool { return r.Kind == m.Kind && r.Source == m.Source && r.Machines == m.Machines })
		if index < 0 {
			rows = append(rows, row{Kind: m.Kind, Source: m.Source, Machines: m.Machines})
			index = len(rows) - 1
		}
		rows[index].add(m)
	}
	slices.SortFunc(rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Machines, b.Machines), cmp.Compare(a.Source, b.Source))
	})
	return rows
}

// add adds a run to the means and sums.
func (r *row) add(m Measurement) {
	r.Runs++
	addToMean := func(mean *float64, v float64) { *mean += (v - *mean) / float64(r.Runs) }
	v := m.Result
	addToMean(&r.Tasks, float64(v.Tasks))
	addToMean(&r.Needed, float64(v.Needed))
	addToMean(&r.ExcessStarts, float64(v.Excess[0]))
	addToMean(&r.ExcessStops, float64(v.Excess[1]))
	addToMean(&r.ExcessForgets, float64(v.Excess[2]))
	r.Excess = r.ExcessStarts + r.ExcessStops + r.ExcessForgets
	addToMean(&r.KeptPercent, 100*v.KeptSeconds/max(v.BeforeSeconds, 1))
	addToMean(&r.First, v.First.Seconds())
	addToMean(&r.Last, v.Last.Seconds())
	addToMean(&r.Requests, float64(v.Requests))
	addToMean(&r.Changes, float64(v.Changes))
	r.Duplicates += v.DuplicateStarts
	r.RulesBroken += len(v.Rules)
}

func kinds(rows []row) (list []string) {
	for _, r := range rows {
		if !slices.Contains(list, r.Kind) {
			list = append(list, r.Kind)
		}
	}
	return list
}

// figure is a plot of one quantity against the number of machines.
type figure struct {
	title, unit string
	value       func(r row) float64
}

var figures = []figure{
	{"orders beyond the real differences", "orders", func(r row) float64 { return r.Excess }},
	{"time to the last start", "seconds", func(r row) float64 { return r.Last }},
	{"requests to the state service", "requests", func(r row) float64 { return r.Requests }},
}

// drawFigure returns a figure for one kind of measurement as SVG, with a line for each program.
func drawFigure(rows []row, kind string, f figure) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = kind+": "+f.title, "machines", f.unit
	p.Y.Min, p.Legend.Top, p.Legend.Left = 0, true, true
	bySource := map[string]plotter.XYs{}
	var sources []string
	for _, r := range rows {
		if r.Kind != kind {
			continue
		}
		if bySource[r.Source] == nil {
			sources = append(sources, r.Source)
		}
		bySource[r.Source] = append(bySource[r.Source], plotter.XY{X: float64(r.Machines), Y: f.value(r)})
	}
	slices.Sort(sources)
	var lines []any
	for _, s := range sources {
		lines = append(lines, s, bySource[s])
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return "", err
	}
	canvas := vgsvg.New(14*vg.Centimeter, 9*vg.Centimeter)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	return template.HTML(out.String()), nil //nolint:gosec // generated here from numbers and the programs' names, which the plot escapes
}

// reportPage is the data of the HTML template.
type reportPage struct {
	Rows  []row
	Plots []template.HTML
}

//go:embed report.html
var reportSource string

var reportTemplate = template.Must(template.New("report").Parse(reportSource))
