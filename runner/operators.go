package runner

import (
	"context"
	"net/netip"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/administrator"
	"github.com/pollencrank/pollencrank/planner"
	"github.com/pollencrank/pollencrank/receiver"
	"github.com/pollencrank/pollencrank/versioner"
)

// operatorsFleet implements administrator.Fleet, the operators' view of this
// instance and of the fleet.
type operatorsFleet struct{ r *Runner }

var _ administrator.Fleet = operatorsFleet{}

// Ready implements administrator.Fleet.
func (f operatorsFleet) Ready() bool { return f.r.Ready() }

// State implements administrator.Fleet.
func (f operatorsFleet) State() *versioner.State { return f.r.distributor.State() }

// Members implements administrator.Fleet.
func (f operatorsFleet) Members() []pollencrank.Instance { return f.r.gossip.Roster().Members }

// Survey implements administrator.Fleet.
func (f operatorsFleet) Survey(ctx context.Context) map[string]pollencrank.Generation {
	return f.r.surveyor.Survey(ctx, true).Generations()
}

// Self implements administrator.Fleet.
func (f operatorsFleet) Self() pollencrank.Instance { return f.r.gossip.Self() }

// Servers implements administrator.Fleet.
func (f operatorsFleet) Servers() []administrator.Server {
	v := f.r.view.Load()
	if v == nil {
		return nil
	}
	var servers []administrator.Server
	for _, s := range v.configuration.Servers {
		server := administrator.Server{Name: s.Name, Workload: s.Workload, FailureDomain: s.FailureDomain, Owner: v.owners[s.Name]}
		if server.Owner == f.r.config.Instance.ID {
			server.InFlight = f.r.executor.InFlight(s.Name)
			server.Local = true
			if health, ok := f.r.executor.Health(s.Name); ok {
				server.Reported = &administrator.Report{OK: health.OK, Load: health.Load, At: health.At}
			}
		}
		servers = append(servers, server)
	}
	return servers
}

// StoreDown implements administrator.Fleet.
func (f operatorsFleet) StoreDown() bool { return f.r.distributor.StoreDown() }

// Summaries implements administrator.Fleet.
func (f operatorsFleet) Summaries(ctx context.Context) []planner.Summary {
	return f.r.surveyor.Survey(ctx, false).Summaries()
}

// Refusals implements administrator.Fleet.
func (f operatorsFleet) Refusals() []receiver.RefusalRecord { return f.r.receiver.Refusals() }

// Explain implements administrator.Fleet.
func (f operatorsFleet) Explain(caller netip.Addr, workload string, now time.Time) (administrator.Explanation, error) {
	v := f.r.view.Load()
	if v == nil {
		return administrator.Explanation{}, &administrator.NotFoundError{Kind: "configuration", Name: "in force"}
	}
	answer, location := v.callers.Table.Find(caller, workload, now)
	if answer == nil {
		return administrator.Explanation{}, &administrator.NotFoundError{Kind: "workload", Name: workload}
	}
	explanation := administrator.Explanation{
		Generation:    v.callers.Generation,
		Instance:      f.r.config.Instance.ID,
		Caller:        caller.String(),
		Workload:      workload,
		Location:      location,
		CallersRegion: v.callers.CallersRegion(caller),
	}
	for _, e := range answer.Entries {
		explanation.Entries = append(explanation.Entries, e.ID)
		explanation.Region = answer.Entries[0].Region
	}
	explainPlan(&explanation, v.configuration.Plan, now)
	return explanation, nil
}

// explainPlan adds the shares and reasons of the plan in force that apply to the
// caller's region and the workload.
func explainPlan(explanation *administrator.Explanation, plan *pollencrank.Plan, now time.Time) {
	if plan == nil {
		return
	}
	explanation.Plan = plan.Number
	for _, s := range plan.Shares {
		if s.Workload == explanation.Workload && s.Callers == explanation.CallersRegion {
			explanation.Shares = append(explanation.Shares, administrator.ShareNow{
				Region: s.Region, Now: plan.At(s, now), After: s.After, Reached: plan.Reached,
			})
		}
	}
	for _, reason := range plan.Reasons {
		applies := reason.Workload == "" || (reason.Workload == explanation.Workload && reason.Callers == explanation.CallersRegion)
		if applies {
			explanation.Reasons = append(explanation.Reasons, reason)
		}
	}
}
