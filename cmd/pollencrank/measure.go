package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/pollencrank/pollencrank/cmd/internal/measurer"
)

// measureCommand reruns the measurements of docs/CAPACITY.md.
type measureCommand struct {
	Only     string `help:"Run only the measurements whose names contain this: steering, state, owners, entry, start, lookup, request, fleet, domains, return."`
	Plots    string `help:"Folder to write plots to; none are written without it."`
	MaxNodes int    `help:"Largest fleet to start." default:"640"`
	JSON     bool   `help:"Print the points as JSON."`
}

// Run implements the command.
func (c *measureCommand) Run(ctx context.Context) error {
	m := measurer.New(measurer.Config{PlotDir: c.Plots, Only: c.Only, MaxNodes: c.MaxNodes, Progress: os.Stderr})
	series, err := m.Run(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(series)
	}
	measurer.WriteTable(os.Stdout, series)
	fmt.Println()
	return nil
}
