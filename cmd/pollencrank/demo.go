package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/pollencrank/pollencrank/demonstrator"
)

// demoCommand runs a demonstration.
type demoCommand struct {
	User string        `help:"User whose fleet sizes to use: ${enum}." enum:"lakeshore,strengverk" default:"lakeshore"`
	For  time.Duration `help:"How long to run." default:"20s"`
	Seed uint64        `help:"Seed of the load." default:"1"`
	JSON bool          `help:"Print the report as JSON."`
	Logs bool          `help:"Print the entries' logs to standard error."`
}

// Run implements the command. It fails if a promise was broken.
func (c *demoCommand) Run(ctx context.Context) error {
	config := demonstrator.Config{User: c.User, Duration: c.For, Seed: c.Seed, Progress: os.Stdout}
	if c.JSON {
		config.Progress = io.Discard
	}
	if c.Logs {
		config.Log = slog.New(slog.NewJSONHandler(os.Stderr, nil))
	}
	report, err := demonstrator.Run(ctx, config)
	if err != nil {
		return err
	}
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(report); err != nil {
			return err
		}
	} else {
		report.Write(os.Stdout)
	}
	if broken := report.Violations(); broken > 0 {
		return fmt.Errorf("%d promises were broken", broken)
	}
	return nil
}
