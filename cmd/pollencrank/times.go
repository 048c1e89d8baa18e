package main

import (
	"fmt"
	"image/color"
	"os"
	"regexp"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/pollencrank/pollencrank/narrator"
)

// timesCommand shows where the time of requests went, from the logs of instances.
type timesCommand struct {
	Files  []string `arg:"" help:"Logs of the instances." type:"existingfile"`
	Region string   `help:"Regular expression whose first group is the region in the name of an instance." default:"^[a-z]+-([a-z]+)"`
	Plot   string   `help:"Write a plot of the mean time by cause and second to this file (.svg or .png)." type:"path"`
}

// Run implements the command.
func (c *timesCommand) Run() error {
	region, err := regexp.Compile(c.Region)
	if err != nil {
		return fmt.Errorf("--region: %w", err)
	}
	if region.NumSubexp() < 1 {
		return fmt.Errorf("--region: %q has no group", c.Region)
	}
	var all []narrator.Line
	for _, path := range c.Files {
		lines, err := readLog(path)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	account := narrator.NewAccount(all, func(source string) string {
		if found := region.FindStringSubmatch(source); found != nil {
			return found[1]
		}
		return source
	})
	if account.Total.Answered+account.Total.Refused == 0 {
		return fmt.Errorf("no line of %d is about the end of a request", len(all))
	}
	if c.Plot != "" {
		if err := plotSeconds(account.Seconds, c.Plot); err != nil {
			return err
		}
	}
	return account.Write(os.Stdout)
}

// causeColors are the colours of the causes in a plot, in the order of the causes.
var causeColors = []color.RGBA{
	{0x99, 0x99, 0x99, 0xff}, {0xd6, 0x27, 0x28, 0xff}, {0x1f, 0x77, 0xb4, 0xff}, {0x2c, 0xa0, 0x2c, 0xff},
	{0xff, 0x7f, 0x0e, 0xff}, {0x94, 0x67, 0xbd, 0xff}, {0xe3, 0x77, 0xc2, 0xff}, {0x17, 0xbe, 0xcf, 0xff},
}

// plotSeconds writes a plot with a stacked bar for each second.
func plotSeconds(seconds []narrator.AccountRow, path string) error {
	const width, height, barWidth = 24 * vg.Centimeter, 12 * vg.Centimeter, 10
	p := plot.New()
	p.Title.Text = "where the time of answered requests went"
	p.X.Label.Text, p.Y.Label.Text = "second", "mean ms"
	p.Legend.Top = true
	var below *plotter.BarChart
	for i, shade := range causeColors {
		values := make(plotter.Values, len(seconds))
		for s, row := range seconds {
			values[s] = float64(row.All[i].Microseconds()) / 1000 / float64(max(row.Answered, 1))
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		bars.Color, bars.LineStyle.Width = shade, 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(narrator.Cause(i).String(), bars)
	}
	if err := p.Save(width, height, path); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
