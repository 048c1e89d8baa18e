package runner

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/acceptor"
	"github.com/pollencrank/pollencrank/leaser"
	"github.com/pollencrank/pollencrank/planner"
	"github.com/pollencrank/pollencrank/recorder"
)

const (
	// PlannerLeaseKey is the object with the lease of the instance that plans.
	PlannerLeaseKey = "leases/planner"
	// planInterval is the time between two attempts to acquire or renew the
	// lease.
	planInterval = 5 * time.Second
	// surveyIntervals is the time between two surveys of the fleet, in plan
	// intervals. For a survey, a relay sends a message to each member of its
	// failure domain.
	surveyIntervals = 3
	// leaseIntervals is the lifetime of the lease, in plan intervals.
	leaseIntervals = 3
	// planTimeout bounds one renewal of the lease with the survey and the proposal
	// that follow.
	planTimeout = 4 * time.Second
)

// StalePlanError reports a plan that does not follow the plan in force, or that
// was made under a lease that is no longer held.
type StalePlanError struct {
	Number uint64
	Token  uint64
}

// Error implements error.
func (e *StalePlanError) Error() string {
	return fmt.Sprintf("plan %d under lease %d is out of date", e.Number, e.Token)
}

// planLoop makes plans while this instance holds the planner's lease. Only
// relays try to acquire it, so that the load on the store does not grow with the
// size of the failure domains.
func (r *Runner) planLoop(ctx context.Context) error {
	random := rand.New(rand.NewPCG(r.config.Seed, r.config.Instance.Incarnation))
	lease := leaser.New(leaser.Config{
		Store:  r.config.Store,
		Key:    PlannerLeaseKey,
		Holder: fmt.Sprintf("%s/%d", r.config.Instance.ID, r.config.Instance.Incarnation),
		// A few renewals may fail before the lease expires.
		Lifetime: leaseIntervals * r.planInterval(),
	})
	var nextSurvey time.Time
	for ctx.Err() == nil {
		const jitterParts = 5
		sleep(ctx, r.planInterval()+time.Duration(random.Int64N(int64(r.planInterval()/jitterParts)+1)))
		if ctx.Err() != nil || r.stopping.Load() {
			break
		}
		if r.planOnce(ctx, lease, time.Now().After(nextSurvey)) {
			nextSurvey = time.Now().Add(surveyIntervals * r.planInterval())
		}
	}
	const releaseTimeout = time.Second
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	_ = lease.Release(releaseCtx)
	return nil
}

func (r *Runner) planInterval() time.Duration {
	if r.config.PlanInterval > 0 {
		return r.config.PlanInterval
	}
	return planInterval
}

// planOnce acquires or renews the lease. If a survey is due and the plan in force
// has been reached, it surveys the fleet, proposes the next plan if that differs,
// and returns true.
func (r *Runner) planOnce(ctx context.Context, l *leaser.Leaser, surveyDue bool) bool {
	ctx, cancel := context.WithTimeout(ctx, planTimeout)
	defer cancel()
	lease, ok := r.holdLease(ctx, l)
	if !ok || !surveyDue {
		return false
	}
	v := r.view.Load()
	if v == nil || len(v.configuration.Regions) < 2 {
		return false
	}
	if plan := v.configuration.Plan; plan != nil && time.Now().Before(plan.Reached) {
		return false
	}
	survey := r.surveyor.Survey(ctx, false)
	next, changed := planner.Next(planner.Input{
		Now:           time.Now(),
		Configuration: v.configuration,
		Summaries:     survey.Summaries(),
		Previous:      v.configuration.Plan,
		Token:         lease.Token,
		Lead:          r.config.PlanLead,
	})
	if changed {
		r.proposePlan(ctx, next, lease)
	}
	return true
}

// holdLease acquires or renews the planner's lease if this instance may plan.
func (r *Runner) holdLease(ctx context.Context, l *leaser.Leaser) (leaser.Lease, bool) {
	if !(fleet{r}).IsRelay() && !l.Lease().Valid(time.Now()) {
		return leaser.Lease{}, false
	}
	previous := l.Lease()
	lease, err := l.Acquire(ctx)
	if err == nil && lease.Token != previous.Token {
		r.config.Log.Info("planner's lease acquired", recorder.EventLeaseAcquired.Attr(), slog.Uint64("token", lease.Token))
	}
	var held *leaser.HeldError
	if errors.As(err, &held) && previous.Valid(time.Now()) {
		r.config.Log.Warn("planner's lease lost", recorder.EventLeaseLost.Attr(), slog.String("holder", held.Holder))
	}
	if err != nil {
		return leaser.Lease{}, false
	}
	return lease, lease.Valid(time.Now())
}

// proposePlan proposes a plan as a change of the configuration. The lease is
// checked immediately before the write, and the write fails if another change was
// accepted since the plan in force was read.
func (r *Runner) proposePlan(ctx context.Context, plan pollencrank.Plan, lease leaser.Lease) {
	stale := &StalePlanError{Number: plan.Number, Token: plan.Token}
	accepted, err := r.acceptor.Accept(ctx, acceptor.Proposal{
		OperationID: fmt.Sprintf("plan-%d-%d-%d", plan.Number, plan.Token, plan.Start.UnixMilli()),
		Author:      r.config.Instance.ID,
		Summary:     fmt.Sprintf("plan %d", plan.Number),
		Automatic:   true,
		Guard: func() error {
			if !lease.Valid(time.Now()) {
				return stale
			}
			return nil
		},
		Edit: func(c *pollencrank.Configuration) error {
			if !planner.Follows(plan, c.Plan) {
				return stale
			}
			c.Plan = &plan
			return nil
		},
	})
	if err != nil {
		r.config.Log.Info("plan refused", recorder.EventPlanRefused.Attr(), slog.Uint64("plan", plan.Number), slog.String("error", err.Error()))
		return
	}
	r.config.Log.Info("plan accepted", recorder.EventPlanAccepted.Attr(), slog.Uint64("plan", plan.Number),
		slog.Uint64("generation", uint64(accepted.Generation)), slog.Any("reasons", plan.Reasons))
}

// surveyFleet implements surveyor.Fleet, the surveyor's view of the other
// instances.
type surveyFleet struct{ r *Runner }

// FailureDomains implements surveyor.Fleet.
func (f surveyFleet) FailureDomains() []string { return f.r.gossip.Roster().Domains() }

// Relays implements surveyor.Fleet.
func (f surveyFleet) Relays(failureDomain string) []pollencrank.Instance {
	roster := f.r.gossip.Roster()
	// A random order spreads the surveys over the relays.
	members := roster.Relays(failureDomain)
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return append(members, roster.Select(func(m pollencrank.Instance) bool {
		return m.FailureDomain == failureDomain && m.State.CanAnswer()
	})...)
}

// Neighbours implements surveyor.Fleet.
func (f surveyFleet) Neighbours() []pollencrank.Instance { return fleet(f).Neighbours() }

// Generation implements surveyor.Fleet.
func (f surveyFleet) Generation() pollencrank.Generation { return f.r.Generation() }

// usableSlots returns the usable slots of the servers that this instance owns, by
// workload.
func (r *Runner) usableSlots() map[string]int {
	slots := map[string]int{}
	for workload, load := range r.executor.Loads() {
		slots[workload] = load.Slots
	}
	return slots
}
