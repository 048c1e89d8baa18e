package measurer

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// plot writes one SVG file for each series.
func (m *Measurer) plot(all []Series) error {
	if m.config.PlotDir == "" {
		return nil
	}
	if err := os.MkdirAll(m.config.PlotDir, 0o755); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	for _, s := range all {
		if err := s.plot(filepath.Join(m.config.PlotDir, FileName(s.Name))); err != nil {
			return fmt.Errorf("plot %s: %w", s.Name, err)
		}
	}
	return nil
}

// FileName returns the name of a series' plot.
func FileName(series string) string {
	name := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= '0' && r <= '9' {
			return r
		}
		return '-'
	}, strings.ToLower(series))
	return name + ".svg"
}

func (s Series) plot(file string) error {
	p := plot.New()
	p.Title.Text = s.Name
	p.X.Label.Text = s.XLabel
	p.Y.Label.Text = s.YLabel
	p.Y.Min = 0
	points := make(plotter.XYs, len(s.Points))
	for i, point := range s.Points {
		points[i].X, points[i].Y = point.X, point.Y
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	intercept, slope, _ := s.Slope()
	line, err := plotter.NewLine(plotter.XYs{
		{X: points[0].X, Y: intercept + slope*points[0].X},
		{X: s.Design, Y: s.AtDesign()},
	})
	if err != nil {
		return err
	}
	p.Add(plotter.NewGrid(), scatter, line)
	return p.Save(plotWidth, plotHeight, file)
}
