// Package measurer measures the memory, processor time, traffic and latency of
// parts of the system as functions of the sizes they depend on, fits straight
// lines, and writes the tables and plots of docs/CAPACITY.md.
//
// # Usage
//
//	m := measurer.New(measurer.Config{PlotDir: "docs/capacity", Progress: os.Stderr})
//	series, err := m.Run(ctx)
//	measurer.WriteTable(os.Stdout, series)
package measurer

import (
	"context"
	"fmt"
	"io"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// Config is the configuration of a Measurer.
type Config struct {
	// PlotDir is the folder for plots; if it is empty, no plots are written.
	PlotDir string
	// Only selects the measurements whose names contain this text.
	Only string
	// MaxNodes bounds the largest fleet that is started.
	MaxNodes int
	Progress io.Writer
}

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series holds measurements of one quantity as a function of one size.
type Series struct {
	Name string `json:"name"`
	// XLabel and YLabel name the size and the quantity with their units.
	XLabel string  `json:"xLabel"`
	YLabel string  `json:"yLabel"`
	Points []Point `json:"points"`
	// Design is the size that the system is designed for, to which the fitted
	// line is extrapolated.
	Design float64 `json:"design"`
}

// Slope returns the intercept and the slope of the straight line fitted to the
// points, and R², the share of the variance that the line explains.
func (s Series) Slope() (intercept, slope, rSquared float64) {
	var xs, ys []float64
	for _, p := range s.Points {
		xs = append(xs, p.X)
		ys = append(ys, p.Y)
	}
	if len(xs) < 2 {
		return ys[0], 0, 1
	}
	intercept, slope = stat.LinearRegression(xs, ys, nil, false)
	return intercept, slope, stat.RSquared(xs, ys, nil, intercept, slope)
}

// AtDesign returns the value of the fitted line at the design size.
func (s Series) AtDesign() float64 {
	intercept, slope, _ := s.Slope()
	return intercept + slope*s.Design
}

// measurement produces one or more series.
type measurement struct {
	name string
	run  func(ctx context.Context, m *Measurer) ([]Series, error)
}

// measurements lists all measurements, in the order of docs/CAPACITY.md.
var measurements = []measurement{
	{"steering", measureSteering},
	{"state", measureState},
	{"owners", measureOwners},
	{"entry", measureEntry},
	{"start", measureStart},
	{"lookup", measureLookup},
	{"request", measureRequest},
	{"fleet", measureFleet},
	{"domains", measureDomains},
	{"return", measureRecovery},
}

// Measurer runs measurements.
type Measurer struct {
	config Config
}

// New returns a Measurer.
func New(config Config) *Measurer {
	const defaultMaxNodes = 640
	if config.Progress == nil {
		config.Progress = io.Discard
	}
	if config.MaxNodes <= 0 {
		config.MaxNodes = defaultMaxNodes
	}
	return &Measurer{config: config}
}

// Run runs the selected measurements and writes their plots.
func (m *Measurer) Run(ctx context.Context) ([]Series, error) {
	var all []Series
	for _, measurement := range measurements {
		if !strings.Contains(measurement.name, m.config.Only) {
			continue
		}
		m.progress("measuring %s", measurement.name)
		series, err := measurement.run(ctx, m)
		if err != nil {
			return all, fmt.Errorf("measure %s: %w", measurement.name, err)
		}
		all = append(all, series...)
	}
	return all, m.plot(all)
}

func (m *Measurer) progress(format string, args ...any) {
	fmt.Fprintf(m.config.Progress, format+"\n", args...)
}

// WriteTable writes a Markdown table of the series.
func WriteTable(w io.Writer, all []Series) {
	fmt.Fprintln(w, "| series | against | range | fixed part | slope | R² | at the design size |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
	for _, s := range all {
		intercept, slope, rSquared := s.Slope()
		first, last := s.Points[0], s.Points[len(s.Points)-1]
		fmt.Fprintf(w, "| %s | %s | %s–%s | %s | %s | %.2f | %s %s |\n", s.Name, s.XLabel, formatNumber(first.X), formatNumber(last.X),
			formatNumber(intercept), formatNumber(slope), rSquared, formatNumber(s.AtDesign()), s.YLabel)
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "| series | measured (size: value) |")
	fmt.Fprintln(w, "|---|---|")
	for _, s := range all {
		var points []string
		for _, p := range s.Points {
			points = append(points, formatNumber(p.X)+": "+formatNumber(p.Y))
		}
		fmt.Fprintf(w, "| %s, %s | %s |\n", s.Name, s.YLabel, strings.Join(points, " · "))
	}
}

// formatNumber formats a value with about three significant digits.
func formatNumber(v float64) string {
	magnitude := v
	if magnitude < 0 {
		magnitude = -magnitude
	}
	switch {
	case magnitude == 0:
		return "0"
	case magnitude >= 100:
		return fmt.Sprintf("%.0f", v)
	case magnitude >= 1:
		return fmt.Sprintf("%.2f", v)
	default:
		return fmt.Sprintf("%.3g", v)
	}
}
