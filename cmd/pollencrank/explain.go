package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/administrator"
	"github.com/pollencrank/pollencrank/versioner"
)

// newTable returns a writer that aligns columns separated by tabs.
func newTable() *tabwriter.Writer { return tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0) }

// diffCommand lists the items that a document would change.
type diffCommand struct {
	fleetFlags
	File string `arg:"" help:"Configuration document." type:"existingfile"`
}

// Run implements the command.
func (c *diffCommand) Run(ctx context.Context) error {
	proposed, err := readConfiguration(c.File)
	if err != nil {
		return err
	}
	inForce, err := c.client().Configuration(ctx)
	if err != nil {
		return err
	}
	from, err := versioner.Encode(&inForce.Configuration, inForce.Generation)
	if err != nil {
		return err
	}
	to, err := versioner.Encode(proposed, inForce.Generation)
	if err != nil {
		return err
	}
	differences := versioner.Compare(from, to)
	if done, err := c.printJSON(differences); done {
		return err
	}
	fmt.Printf("items that differ from generation %d: %d\n", inForce.Generation, len(differences))
	for _, d := range differences {
		fmt.Printf("%s %s\n", d.Kind, d.Item)
		if d.Before != "" {
			fmt.Printf("  - %s\n", d.Before)
		}
		if d.After != "" {
			fmt.Printf("  + %s\n", d.After)
		}
	}
	return nil
}

// planCommand shows the plan in force, or previews the plans after a change.
type planCommand struct {
	fleetFlags
	File   string        `help:"Preview applying a configuration document." type:"existingfile" xor:"change"`
	Preset string        `help:"Preview using a preset." xor:"change"`
	Drain  string        `help:"Preview a drain." xor:"change"`
	Kind   string        `help:"Kind of the drained target: server, instance, failureDomain or region." enum:"server,instance,failureDomain,region" default:"server"`
	In     time.Duration `help:"Delay before the drain begins."`
	Ahead  bool          `help:"Preview the plans that follow without any change." xor:"change"`
}

// Run implements the command.
func (c *planCommand) Run(ctx context.Context) error {
	request := administrator.PreviewRequest{Preset: c.Preset}
	switch {
	case c.File != "":
		configuration, err := readConfiguration(c.File)
		if err != nil {
			return err
		}
		request.Configuration = configuration
	case c.Drain != "":
		target := pollencrank.DrainTarget{Kind: pollencrank.DrainKind(c.Kind), Name: c.Drain}
		drain := pollencrank.NewDrain(target, time.Now().Add(c.In).UTC(), time.Time{})
		request.Drain = &drain
	case c.Preset == "" && !c.Ahead:
		return c.showInForce(ctx)
	}
	preview, err := c.client().Preview(ctx, request)
	if err != nil {
		return err
	}
	if done, err := c.printJSON(preview); done {
		return err
	}
	if preview.TooFewSummaries {
		fmt.Println("no plan is made now: half of the failure domains or more do not answer")
		return nil
	}
	fmt.Printf("%d steps, over at %s\n", preview.Steps, preview.Reached.UTC().Format(time.RFC3339))
	return printShares(preview.Shares, preview.Reasons)
}

func (c *planCommand) showInForce(ctx context.Context) error {
	plan, err := c.client().Plan(ctx)
	if err != nil {
		return err
	}
	if done, err := c.printJSON(plan); done {
		return err
	}
	fmt.Printf("plan %d, from %s to %s, %.0f%% done\n", plan.Number, plan.Start.UTC().Format(time.RFC3339),
		plan.Reached.UTC().Format(time.RFC3339), percent*plan.Progress(time.Now()))
	return printShares(plan.Shares, plan.Reasons)
}

const percent = 100

func printShares(shares []pollencrank.Share, reasons []pollencrank.PlanReason) error {
	table := newTable()
	fmt.Fprintln(table, "workload\tcallers of\tserved by\tbefore\tafter")
	for _, s := range shares {
		fmt.Fprintf(table, "%s\t%s\t%s\t%.1f%%\t%.1f%%\n", s.Workload, s.Callers, s.Region, percent*s.Before, percent*s.After)
	}
	for _, r := range reasons {
		fmt.Fprintf(table, "reason: %s\n", describeReason(r))
	}
	return table.Flush()
}

func describeReason(r pollencrank.PlanReason) string {
	switch r.Kind {
	case pollencrank.PlanReasonCapacity:
		return fmt.Sprintf("nearer regions lack capacity for %s of callers of %s; some go to %s", r.Workload, r.Callers, r.Region)
	case pollencrank.PlanReasonReturn:
		return fmt.Sprintf("%s has capacity for %s of its own callers again", r.Region, r.Workload)
	case pollencrank.PlanReasonDrain:
		return fmt.Sprintf("servers of %s are drained; callers of %s go to %s", r.Workload, r.Callers, r.Region)
	case pollencrank.PlanReasonUnreachable:
		return fmt.Sprintf("failure domain %s does not answer", r.Region)
	case pollencrank.PlanReasonShiftCap:
		return fmt.Sprintf("the cap on shifts limits the step of %s for callers of %s", r.Workload, r.Callers)
	case pollencrank.PlanReasonRegionCap:
		return fmt.Sprintf("region %s has no room for more %s of callers of %s in this step", r.Region, r.Workload, r.Callers)
	case pollencrank.PlanReasonLinkCap:
		return fmt.Sprintf("the link to %s has no room for more %s of callers of %s", r.Region, r.Workload, r.Callers)
	case pollencrank.PlanReasonRefused:
		return fmt.Sprintf("no region can serve all %s of callers of %s; the rest is refused by rank", r.Workload, r.Callers)
	default:
		return string(r.Kind)
	}
}

// explainCommand groups the commands that explain decisions.
type explainCommand struct {
	Caller   explainCallerCommand   `cmd:"" help:"Show why a caller is steered to its region and entries."`
	Refusals explainRefusalsCommand `cmd:"" help:"List the latest requests that the entry refused, with reasons."`
}

// explainCallerCommand shows why a caller is steered to its region and entries.
type explainCallerCommand struct {
	fleetFlags
	Caller   string `arg:"" help:"IP address of the caller."`
	Workload string `arg:"" help:"Workload."`
}

// Run implements the command.
func (c *explainCallerCommand) Run(ctx context.Context) error {
	e, err := c.client().Explain(ctx, c.Caller, c.Workload)
	if err != nil {
		return err
	}
	if done, err := c.printJSON(e); done {
		return err
	}
	location := e.Location
	if location == "" {
		location = "no client block"
	}
	fmt.Printf("%s is in %s; the nearest region is %s\n", e.Caller, location, e.CallersRegion)
	if len(e.Entries) == 0 {
		fmt.Printf("look-ups are refused: the region that serves the caller has no server of %s\n", e.Workload)
	} else {
		fmt.Printf("it is steered to region %s, entries %s\n", e.Region, strings.Join(e.Entries, ", "))
	}
	for _, s := range e.Shares {
		fmt.Printf("plan %d: %s serves %.1f%% of such callers now, %.1f%% from %s on\n",
			e.Plan, s.Region, percent*s.Now, percent*s.After, s.Reached.UTC().Format(time.RFC3339))
	}
	for _, r := range e.Reasons {
		fmt.Printf("reason: %s\n", describeReason(r))
	}
	return nil
}

// explainRefusalsCommand lists the latest refusals of the entry that is called.
type explainRefusalsCommand struct {
	fleetFlags
	Trace  string `help:"Only the request with this trace ID."`
	Caller string `help:"Only requests of this IP address."`
}

// Run implements the command.
func (c *explainRefusalsCommand) Run(ctx context.Context) error {
	records, err := c.client().Refusals(ctx)
	if err != nil {
		return err
	}
	kept := records[:0]
	for _, r := range records {
		if (c.Trace == "" || r.Trace == c.Trace) && (c.Caller == "" || r.Caller == c.Caller) {
			kept = append(kept, r)
		}
	}
	if done, err := c.printJSON(kept); done {
		return err
	}
	table := newTable()
	fmt.Fprintln(table, "at\tcaller\trequest\toutcome\treason\tdetail")
	for _, r := range kept {
		fmt.Fprintf(table, "%s\t%s\t%s %s\t%s\t%s\t%s\n", r.At.Format(time.RFC3339), r.Caller, r.Method, r.Path, r.Outcome, r.Reason, r.Detail)
	}
	return table.Flush()
}
