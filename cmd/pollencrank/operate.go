package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/acceptor"
	"github.com/pollencrank/pollencrank/administrator"
	"github.com/pollencrank/pollencrank/operator"
	"github.com/pollencrank/pollencrank/parser"
)

// fleetFlags select the entry to call, the credential and the output format.
type fleetFlags struct {
	Entry  string `help:"Operators' address of any entry." env:"POLLENCRANK_ENTRY" default:"http://127.0.0.1:8082"`
	Token  string `help:"Operators' credential." env:"POLLENCRANK_OPERATOR_TOKEN" required:""`
	Author string `help:"Name recorded with changes." env:"USER" default:"operator"`
	JSON   bool   `help:"Print JSON."`
}

func (f fleetFlags) client() *operator.Client {
	return operator.New(operator.Config{BaseURL: f.Entry, Token: f.Token, Author: f.Author})
}

// printJSON prints v if --json is set, and reports whether it is.
func (f fleetFlags) printJSON(v any) (bool, error) {
	if !f.JSON {
		return false, nil
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return true, encoder.Encode(v)
}

func (f fleetFlags) printAccepted(a acceptor.Accepted) error {
	if done, err := f.printJSON(a); done {
		return err
	}
	if a.Unchanged {
		fmt.Printf("nothing to change; generation %d stays in force\n", a.Generation)
		return nil
	}
	fmt.Printf("accepted as generation %d\n", a.Generation)
	return nil
}

// readConfiguration reads, parses and checks a document.
func readConfiguration(file string) (*pollencrank.Configuration, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	c, faults := parser.Parse(text)
	return c, faults.Err()
}

// checkCommand checks a document.
type checkCommand struct {
	File string `arg:"" help:"Configuration document." type:"existingfile"`
}

// Run implements the command.
func (c *checkCommand) Run() error {
	if _, err := readConfiguration(c.File); err != nil {
		return err
	}
	fmt.Println("no faults")
	return nil
}

// applyCommand puts a document in force.
type applyCommand struct {
	fleetFlags
	File   string `arg:"" help:"Configuration document." type:"existingfile"`
	Expect uint64 `help:"Generation that must still be in force; 0 accepts any."`
}

// Run implements the command.
func (c *applyCommand) Run(ctx context.Context) error {
	configuration, err := readConfiguration(c.File)
	if err != nil {
		return err
	}
	accepted, err := c.client().Apply(ctx, configuration, pollencrank.Generation(c.Expect))
	if err != nil {
		return err
	}
	return c.printAccepted(accepted)
}

// useCommand puts a preset in force.
type useCommand struct {
	fleetFlags
	Preset string `arg:"" help:"Preset to put in force."`
	Expect uint64 `help:"Generation that must still be in force; 0 accepts any."`
}

// Run implements the command.
func (c *useCommand) Run(ctx context.Context) error {
	accepted, err := c.client().UsePreset(ctx, c.Preset, pollencrank.Generation(c.Expect))
	if err != nil {
		return err
	}
	return c.printAccepted(accepted)
}

// targetFlags name the target of a drain.
type targetFlags struct {
	Name string `arg:"" help:"Name of the target."`
	Kind string `help:"Kind of the target: server, instance, failureDomain or region." enum:"server,instance,failureDomain,region" default:"server"`
}

func (t targetFlags) target() pollencrank.DrainTarget {
	return pollencrank.DrainTarget{Kind: pollencrank.DrainKind(t.Kind), Name: t.Name}
}

// drainCommand takes a target out of service.
type drainCommand struct {
	fleetFlags
	targetFlags
	In     time.Duration `help:"Delay before the drain begins."`
	Within time.Duration `help:"Time from its start within which the drain should be complete." default:"10m"`
	Force  bool          `help:"Drain even if too little capacity is left."`
}

// Run implements the command.
func (c *drainCommand) Run(ctx context.Context) error {
	start := time.Now().Add(c.In).UTC()
	accepted, err := c.client().Drain(ctx, c.target(), start, start.Add(c.Within), c.Force)
	if err != nil {
		return err
	}
	return c.printAccepted(accepted)
}

// undrainCommand puts a drained target back into service.
type undrainCommand struct {
	fleetFlags
	targetFlags
}

// Run implements the command.
func (c *undrainCommand) Run(ctx context.Context) error {
	accepted, err := c.client().Undrain(ctx, c.target())
	if err != nil {
		return err
	}
	return c.printAccepted(accepted)
}

// rollbackCommand puts the contents of an earlier generation back in force.
type rollbackCommand struct {
	fleetFlags
	Generation uint64 `arg:"" help:"Generation whose contents to put in force, as a new generation."`
	Expect     uint64 `help:"Generation that must still be in force; 0 accepts any."`
}

// Run implements the command.
func (c *rollbackCommand) Run(ctx context.Context) error {
	accepted, err := c.client().Rollback(ctx, pollencrank.Generation(c.Generation), pollencrank.Generation(c.Expect))
	if err != nil {
		return err
	}
	return c.printAccepted(accepted)
}

// historyCommand lists accepted changes.
type historyCommand struct {
	fleetFlags
	All bool `help:"List plans as well, which the system accepts automatically."`
}

// Run implements the command.
func (c *historyCommand) Run(ctx context.Context) error {
	history, err := c.client().History(ctx)
	if err != nil {
		return err
	}
	if !c.All {
		history = slices.DeleteFunc(history, func(a acceptor.Accepted) bool { return a.Automatic })
	}
	if done, err := c.printJSON(history); done {
		return err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "generation\taccepted\tauthor\tchange")
	for _, a := range history {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", a.Generation, a.At.UTC().Format(time.RFC3339), a.Author, a.Summary)
	}
	return table.Flush()
}

// getCommand prints the configuration in force.
type getCommand struct {
	fleetFlags
}

// Run implements the command.
func (c *getCommand) Run(ctx context.Context) error {
	document, err := c.client().Configuration(ctx)
	if err != nil {
		return err
	}
	if done, err := c.printJSON(document); done {
		return err
	}
	text, err := parser.Format(&document.Configuration)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(text)
	return err
}

// statusCommand shows the fleet.
type statusCommand struct {
	fleetFlags
	Wait    bool          `help:"Wait until the newest generation is in force everywhere."`
	Timeout time.Duration `help:"How long to wait." default:"30s"`
}

// statusPollInterval is the time between two status calls while waiting.
const statusPollInterval = 500 * time.Millisecond

// errNotInForceEverywhere reports that the wait timed out before every running
// member had the newest generation.
var errNotInForceEverywhere = errors.New("the newest generation is not in force everywhere")

// Run implements the command.
func (c *statusCommand) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	status, err := c.client().Status(ctx)
	for err == nil && c.Wait && !status.InForceEverywhere {
		select {
		case <-ctx.Done():
			return errors.Join(c.print(status), errNotInForceEverywhere)
		case <-time.After(statusPollInterval):
		}
		var next administrator.Status
		next, err = c.client().Status(ctx)
		if err != nil && ctx.Err() != nil {
			// The wait ended during the call.
			return errors.Join(c.print(status), errNotInForceEverywhere)
		}
		status = next
	}
	if err != nil {
		return err
	}
	return c.print(status)
}

func (c *statusCommand) print(status administrator.Status) error {
	if done, err := c.printJSON(status); done {
		return err
	}
	fmt.Printf("generation %d, preset %s, in force everywhere: %v, store answers: %v\n\n",
		status.Generation, status.PresetInForce, status.InForceEverywhere, !status.StoreDown)
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "instance\tstate\tregion\tfailure domain\tgeneration\tremark")
	for _, m := range status.Members {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\n", m.ID, m.State, m.Region, m.FailureDomain, m.Generation, remark(m, status.Generation))
	}
	fmt.Fprintln(table, "\nserver\tworkload\tfailure domain\towner\tin flight\t")
	for _, s := range status.Servers {
		inFlight := "-"
		if s.Local {
			inFlight = fmt.Sprint(s.InFlight)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t\n", s.Name, s.Workload, s.FailureDomain, s.Owner, inFlight)
	}
	return table.Flush()
}

func remark(m administrator.Member, newest pollencrank.Generation) string {
	switch {
	case !m.Running:
		return "stopped"
	case !m.Reached:
		return "unreachable"
	case m.Generation < newest:
		return "lags"
	default:
		return ""
	}
}
