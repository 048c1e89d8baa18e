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
	// User is lakeshore or strengverk.
	User     string
	Duration time.Duration
	Seed     uint64
	// Progress is told what happens as it happens.
	Progress io.Writer
	Log      *slog.Logger
}

// UnknownUserError says that there is no user of that name.
type UnknownUserError struct {
	User string
}

// Error implements error.
func (e *UnknownUserError) Error() string {
	return fmt.Sprintf("user %q is not lakeshore or strengverk", e.User)
}

const (
	startTimeout = 10 * time.Second
	// drainGrace is within what time a drain must take effect everywhere.
	drainGrace = 2 * time.Second
	// enforceLimit is within what time a change must be in force everywhere.
	enforceLimit = 4 * time.Second
	// settleTime lets the entries find each other before the load begins.
	settleTime = 2500 * time.Millisecond
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
	// late counts changes that were not in force everywhere in time.
	late int
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
	if err := d.begin(ctx); err != nil {
		return nil, err
	}
	if err := d.perform(ctx); err != nil {
		return nil, err
	}
	d.finish()
	return d.report, nil
}

// begin starts the entries and puts the configuration in force.
func (d *demonstration) begin(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for i := range entryCount {
		if _, err := d.fleet.startEntry(i % (regionCount * domainsPerRegion)); err != nil {
			return err
		}
	}
	d.started = time.Now()
	d.client = operator.New(operator.Config{
		BaseURL: d.fleet.running()[0].operators,
		Token:   operatorToken,
		Author:  "demonstration",
	})
	accepted, err := d.client.Apply(ctx, &d.fleet.config, 0)
	if err != nil {
		return fmt.Errorf("apply the configuration: %w", err)
	}
	if err := d.fleet.waitFor(ctx, accepted.Generation); err != nil {
		return err
	}
	d.note("configuration applied", "in force on %d entries", len(d.fleet.running()))
	pause(ctx, settleTime)
	return ctx.Err()
}

// note records a step.
func (d *demonstration) note(what, format string, args ...any) {
	step := Step{At: time.Since(d.started), What: what, Result: fmt.Sprintf(format, args...)}
	d.report.Steps = append(d.report.Steps, step)
	fmt.Fprintf(d.config.Progress, "%6.2fs  %s: %s\n", step.At.Seconds(), step.What, step.Result)
}

// perform runs the load and, one after another, the events.
func (d *demonstration) perform(ctx context.Context) error {
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	d.load = &load{fleet: d.fleet, tally: d.tally}
	d.load.start(loadCtx)
	events := []func(context.Context) error{
		d.changePreset, d.drainServer, d.replaceEntry, d.flood, d.storeOutage,
	}
	part := d.config.Duration / time.Duration(len(events)+1)
	for _, event := range events {
		partEnds := time.Now().Add(part)
		if err := event(ctx); err != nil {
			return err
		}
		pause(ctx, time.Until(partEnds))
	}
	pause(ctx, part)
	stopLoad()
	d.load.wait.Wait()
	return ctx.Err()
}

// waitInForce waits until a change is in force everywhere and counts it if
// that takes too long.
func (d *demonstration) waitInForce(ctx context.Context, generation pollencrank.Generation, since time.Time) time.Duration {
	ctx, cancel := context.WithDeadline(ctx, since.Add(enforceLimit))
	defer cancel()
	if err := d.fleet.waitFor(ctx, generation); err != nil {
		d.late++
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
	d.note("preset changed to peak", "generation %d in force everywhere after %s", accepted.Generation, round(took))
	return nil
}

func (d *demonstration) drainServer(ctx context.Context) error {
	server := d.fleet.config.Servers[0].Name
	since := time.Now()
	accepted, err := d.client.Drain(ctx, pollencrank.DrainTarget{Kind: pollencrank.DrainServer, Name: server}, time.Time{}, time.Time{}, false)
	if err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	d.fleet.ledger.RecordDrainStart(server, since.Add(drainGrace))
	took := d.waitInForce(ctx, accepted.Generation, since)
	d.note("server "+server+" drained", "in force everywhere after %s", round(took))
	return nil
}

func (d *demonstration) replaceEntry(ctx context.Context) error {
	old := d.fleet.running()[1]
	const domainOfSecond = 1
	if _, err := d.fleet.startEntry(domainOfSecond); err != nil {
		return err
	}
	since := time.Now()
	stopCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := old.Stop(stopCtx); err != nil {
		return fmt.Errorf("replace an entry: %w", err)
	}
	d.fleet.remove(old)
	d.note("entry "+old.Instance().ID+" replaced", "planned stop took %s", round(time.Since(since)))
	return nil
}

func (d *demonstration) flood(ctx context.Context) error {
	length := d.config.Duration / 6
	d.note("flood of the least urgent rank begins", "for %s at %d times the ordinary rate", round(length), floodFactor)
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	d.load.flood(ctx)
	d.note("flood ends", "%d requests of all ranks so far", d.load.attempts.Load())
	return nil
}

func (d *demonstration) storeOutage(ctx context.Context) error {
	length := d.config.Duration / 10
	d.fleet.store.SetDown(true)
	d.note("store down", "for %s", round(length))
	pause(ctx, length)
	d.fleet.store.SetDown(false)
	since := time.Now()
	accepted, err := d.client.UsePreset(ctx, "ordinary", 0)
	if err != nil {
		return fmt.Errorf("change the preset after the outage: %w", err)
	}
	took := d.waitInForce(ctx, accepted.Generation, since)
	d.note("store back, preset changed to ordinary", "in force everywhere after %s", round(took))
	return nil
}

// finish sums up.
func (d *demonstration) finish() {
	rows, falseNotRun := d.tally.report(d.fleet.ledger)
	found := d.fleet.ledger.Violations()
	t := d.tally
	d.report.Rows = rows
	d.report.Reasons = t.reasons
	d.report.Lookups = t.lookups
	d.report.Orders = d.fleet.ledger.Orders()
	d.report.Runs = d.fleet.ledger.Runs()
	d.report.Promises = []Promise{
		{"a traffic shift stays under its cap", 0, "not provoked here: no region is lost"},
		{"no decision overloads a region", found.OverSlots, "requests that found every slot of their server busy"},
		{"each caller gets its own whole answer", len(t.broken), "tags at both ends of every answer"},
		{"\"not run\" is true", falseNotRun, "refused requests looked for in the servers' ledger"},
		{"a non-idempotent order runs at most once", found.RepeatedOrders, "runs of each order in the servers' ledger"},
		{"a drained server gets no new work after 2 s", found.AfterDrain, "requests that reached the server"},
		{"a planned stop cuts nothing off", len(t.cut), "connections that ended without an answer " + example(t.cut)},
		{"configuration is in force everywhere in 4 s, never reverts", d.late + len(t.reverted), "generations in look-up answers and of all entries " + example(t.reverted)},
	}
}

func example(details []string) string {
	if len(details) == 0 {
		return ""
	}
	return "(" + details[0] + ")"
}
