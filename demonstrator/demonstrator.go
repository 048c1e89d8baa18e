package demonstrator

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/operator"
)

// Config is the configuration of a demonstration.
type Config struct {
	// User is the name of the user: lakeshore or strengverk.
	User     string
	Duration time.Duration
	Seed     uint64
	// Progress receives a line for each step as it is recorded.
	Progress io.Writer
	Log      *slog.Logger
}

// UnknownUserError reports a user name that is not defined.
type UnknownUserError struct {
	User string
}

// Error implements error.
func (e *UnknownUserError) Error() string {
	return fmt.Sprintf("user %q is not lakeshore or strengverk", e.User)
}

const (
	startTimeout = 10 * time.Second
	// drainBound is the time after which a drained server must not receive requests.
	drainBound = 2 * time.Second
	// enforceTimeout is the time in which a change must be in force on every entry.
	enforceTimeout = 4 * time.Second
	// discoveryTime is the time that the entries have to discover each other before the
	// load starts.
	discoveryTime = 2500 * time.Millisecond
)

// demonstration is a run in progress.
type demonstration struct {
	config  Config
	fleet   *fleet
	load    *load
	tally   *tally
	client  *operator.Client
	report  *Report
	started time.Time
	// lateChanges is the number of changes that were not in force on every entry in time.
	lateChanges int
}

// Run performs a demonstration.
func Run(ctx context.Context, config Config) (*Report, error) {
	u, ok := users[config.User]
	if !ok {
		return nil, &UnknownUserError{User: config.User}
	}
	if config.Progress == nil {
		config.Progress = io.Discard
	}
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	f, err := newFleet(u, config.Seed, config.Log)
	if err != nil {
		return nil, err
	}
	defer f.close()
	d := &demonstration{
		config: config,
		fleet:  f,
		tally:  newTally(),
		report: &Report{User: u.name, Seed: config.Seed},
	}
	if err := d.setUp(ctx); err != nil {
		return nil, err
	}
	if err := d.runEvents(ctx); err != nil {
		return nil, err
	}
	d.summarize()
	return d.report, nil
}

// setUp starts the entries and puts the configuration in force.
func (d *demonstration) setUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for i := range entryCount {
		if _, err := d.fleet.startEntry(i % (regionCount * domainsPerRegion)); err != nil {
			return err
		}
	}
	d.started = time.Now()
	d.client = operator.New(operator.Config{
		BaseURL: d.fleet.running()[0].operatorURL,
		Token:   operatorToken,
		Author:  "demonstration",
	})
	accepted, err := d.client.Apply(ctx, &d.fleet.config, 0)
	if err != nil {
		return fmt.Errorf("apply the configuration: %w", err)
	}
	if err := d.fleet.waitForGeneration(ctx, accepted.Generation); err != nil {
		return err
	}
	d.addStep("configuration applied", "in force on %d entries", len(d.fleet.running()))
	pause(ctx, discoveryTime)
	return ctx.Err()
}

// addStep adds a step to the report and writes it to the progress output.
func (d *demonstration) addStep(name, format string, args ...any) {
	step := Step{At: time.Since(d.started), What: name, Result: fmt.Sprintf(format, args...)}
	d.report.Steps = append(d.report.Steps, step)
	fmt.Fprintf(d.config.Progress, "%6.2fs  %s: %s\n", step.At.Seconds(), step.What, step.Result)
}

// runEvents runs the load and, sequentially, the events. Events start at regular
// intervals, or later if the previous one has not ended.
func (d *demonstration) runEvents(ctx context.Context) error {
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	d.load = &load{fleet: d.fleet, tally: d.tally}
	d.load.start(loadCtx)
	events := []func(context.Context) error{
		d.changePreset, d.drainServer, d.replaceEntry, d.flood, d.storeOutage,
	}
	interval := d.config.Duration / time.Duration(len(events)+1)
	for _, event := range events {
		nextStart := time.Now().Add(interval)
		if err := event(ctx); err != nil {
			return err
		}
		pause(ctx, time.Until(nextStart))
	}
	pause(ctx, interval)
	stopLoad()
	d.load.callers.Wait()
	return ctx.Err()
}

// waitInForce waits until a change is in force on every entry, counts the change as
// late if that takes too long, and returns the time that has passed.
func (d *demonstration) waitInForce(ctx context.Context, generation pollencrank.Generation, since time.Time) time.Duration {
	ctx, cancel := context.WithDeadline(ctx, since.Add(enforceTimeout))
	defer cancel()
	if err := d.fleet.waitForGeneration(ctx, generation); err != nil {
		d.lateChanges++
	}
	return time.Since(since)
}

func (d *demonstration) changePreset(ctx context.Context) error {
	since := time.Now()
	accepted, err := d.client.UsePreset(ctx, "peak", 0)
	if err != nil {
		return fmt.Errorf("change the preset: %w", err)
	}
	took := d.waitInForce(ctx, accepted.Generation, since)
	d.addStep("preset changed to peak", "generation %d in force everywhere after %s", accepted.Generation, round(took))
	return nil
}

func (d *demonstration) drainServer(ctx context.Context) error {
	server := d.fleet.config.Servers[0].Name
	since := time.Now()
	accepted, err := d.client.Drain(ctx, pollencrank.DrainTarget{Kind: pollencrank.DrainServer, Name: server}, time.Time{}, time.Time{}, false)
	if err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	d.fleet.ledger.RecordDrainStart(server, since.Add(drainBound))
	took := d.waitInForce(ctx, accepted.Generation, since)
	d.addStep("server "+server+" drained", "in force everywhere after %s", round(took))
	return nil
}

func (d *demonstration) replaceEntry(ctx context.Context) error {
	replaced := d.fleet.running()[1]
	const secondDomain = 1
	if _, err := d.fleet.startEntry(secondDomain); err != nil {
		return err
	}
	since := time.Now()
	stopCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := replaced.Stop(stopCtx); err != nil {
		return fmt.Errorf("replace an entry: %w", err)
	}
	d.fleet.remove(replaced)
	d.addStep("entry "+replaced.Instance().ID+" replaced", "planned stop took %s", round(time.Since(since)))
	return nil
}

func (d *demonstration) flood(ctx context.Context) error {
	length := d.config.Duration / 6
	d.addStep("flood of the least urgent rank begins", "for %s at %d times the ordinary rate", round(length), floodFactor)
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	d.load.flood(ctx)
	d.addStep("flood ends", "%d requests of all ranks so far", d.load.attempts.Load())
	return nil
}

func (d *demonstration) storeOutage(ctx context.Context) error {
	length := d.config.Duration / 10
	d.fleet.store.SetDown(true)
	d.addStep("store down", "for %s", round(length))
	pause(ctx, length)
	d.fleet.store.SetDown(false)
	since := time.Now()
	accepted, err := d.client.UsePreset(ctx, "ordinary", 0)
	if err != nil {
		return fmt.Errorf("change the preset after the outage: %w", err)
	}
	took := d.waitInForce(ctx, accepted.Generation, since)
	d.addStep("store back, preset changed to ordinary", "in force everywhere after %s", round(took))
	return nil
}

// summarize completes the report.
func (d *demonstration) summarize() {
	rows, falseNotRun := d.tally.reportRows(d.fleet.ledger)
	violations := d.fleet.ledger.Violations()
	t := d.tally
	d.report.Rows = rows
	d.report.Reasons = t.reasons
	d.report.Lookups = t.lookups
	d.report.Orders = d.fleet.ledger.Orders()
	d.report.Runs = d.fleet.ledger.Runs()
	d.report.Promises = []Promise{
		{"a traffic shift stays under its cap", 0, "not provoked here: no region is lost"},
		{"no decision overloads a region", violations.OverSlots, "requests that found every slot of their server busy"},
		{"each caller gets its own whole answer", len(t.wrongAnswers), "tags at both ends of every answer"},
		{"\"not run\" is true", falseNotRun, "refused requests looked for in the servers' ledger"},
		{"a non-idempotent order runs at most once", violations.RepeatedOrders, "runs of each order in the servers' ledger"},
		{"a drained server gets no new work after 2 s", violations.AfterDrain, "requests that reached the server"},
		{"a planned stop cuts nothing off", len(t.brokenConnections), "connections that ended without an answer " + example(t.brokenConnections)},
		{"configuration is in force everywhere in 4 s, never reverts", d.lateChanges + len(t.reversions), "generations in look-up answers and of all entries " + example(t.reversions)},
	}
}

func example(details []string) string {
	if len(details) == 0 {
		return ""
	}
	return "(" + details[0] + ")"
}
