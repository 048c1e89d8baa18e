// Command pollencrank is the operators' tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/pollencrank/pollencrank/soaker"
)

// commandLine holds the commands of the tool.
type commandLine struct {
	Demo     demoCommand     `cmd:"" help:"Run the whole system in one process on a stand-in store and stand-in backend servers, and count broken promises."`
	Check    checkCommand    `cmd:"" help:"List every fault of a configuration document."`
	Diff     diffCommand     `cmd:"" help:"List what a configuration document would change."`
	Plan     planCommand     `cmd:"" help:"Show the plan in force, or preview what would shift after a change without making it."`
	Apply    applyCommand    `cmd:"" help:"Put a configuration document in force."`
	Get      getCommand      `cmd:"" help:"Print the configuration in force."`
	Use      useCommand      `cmd:"" help:"Put a preset in force."`
	Drain    drainCommand    `cmd:"" help:"Take a backend server, an instance, a failure domain or a region out of service."`
	Undrain  undrainCommand  `cmd:"" help:"Put a drained backend server, instance, failure domain or region back into service."`
	Status   statusCommand   `cmd:"" help:"Show the fleet: generation in force, members, owners of servers."`
	History  historyCommand  `cmd:"" help:"List the latest accepted changes."`
	Rollback rollbackCommand `cmd:"" help:"Put the contents of an earlier generation back in force."`
	Explain  explainCommand  `cmd:"" help:"Show why a caller is steered to its region and entries, or why requests were refused."`
	Request  requestCommand  `cmd:"" help:"Show the course of one request from the logs of instances."`
	Times    timesCommand    `cmd:"" help:"Show where the time of requests went, by route, region and second, from the logs of instances."`
	Standin  standinCommand  `cmd:"" help:"Run a stand-in for the store or a backend server, to try entries as separate processes."`
	Soak     soakCommand     `cmd:"" help:"Run hosted entries as processes, inject faults from outside, and check the promises."`
	Quotas   quotasCommand   `cmd:"" help:"Show the quotas of tenants, who holds them, and what one hosted instance holds."`
	Measure  measureCommand  `cmd:"" help:"Rerun the measurements of docs/CAPACITY.md."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var commands commandLine
	parsed := kong.Parse(&commands,
		kong.Name("pollencrank"),
		kong.Description("Operate a pollencrank fleet, or try one out."),
		kong.UsageOnError(),
		kong.Vars{"soakTroubles": strings.Join(soaker.FaultNames(), ", ")},
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	parsed.FatalIfErrorf(parsed.Run())
}
