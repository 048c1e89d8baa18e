package planner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/planner"
)

func regionDrain(start time.Time) pollencrank.Drain {
	return pollencrank.NewDrain(pollencrank.DrainTarget{Kind: pollencrank.DrainRegion, Name: region(0)}, start, time.Time{})
}

func TestAPreviewMatchesTheSettledPlans(t *testing.T) {
	f := newFleet(2, 1, 10)
	f.demand[workload(0)][region(0)] = 4
	f.configuration.Plan = f.settle(t, nil)
	now := f.configuration.Plan.Reached
	drain := regionDrain(now)
	f.configuration.Drains = []pollencrank.Drain{drain}
	preview := planner.NewPreview(planner.Input{
		Now: now, Configuration: f.configuration, Previous: f.configuration.Plan, Summaries: f.summaries(now),
	})
	require.True(t, preview.Settled)
	settled := f.settle(t, f.configuration.Plan)
	for _, s := range preview.Shares {
		require.InDelta(t, share(settled, s.Workload, s.Callers, s.Region), s.After, slack)
	}
	require.Equal(t, int(settled.Number-f.configuration.Plan.Number), preview.Steps+1, "the last plan changes no share; it only drops the reason that a step was capped")
}

func TestAPreviewSaysThatTooFewDomainsAnswer(t *testing.T) {
	f := newFleet(2, 1, 10)
	f.unreachable["region-0-0"], f.unreachable["region-1-0"] = true, true
	preview := planner.NewPreview(planner.Input{Now: start, Configuration: f.configuration, Summaries: f.summaries(start)})
	require.True(t, preview.TooFewSummaries)
	require.False(t, preview.Settled)
	require.Empty(t, preview.Shares)
}

func TestADrainThatLeavesTooFewSlotsIsRefused(t *testing.T) {
	f := newFleet(2, 1, 10)
	f.demand[workload(0)][region(1)] = 16
	f.configuration.Plan = f.settle(t, nil)
	late := start.Add(24 * time.Hour)
	f.configuration.Drains = []pollencrank.Drain{regionDrain(late)}
	require.NoError(t, planner.CheckDrain(f.configuration, regionDrain(late), start))
	f.demand[workload(0)][region(0)] = 10
	f.configuration.Drains = nil
	plan := *f.configuration.Plan
	plan.Demands = append(plan.Demands, pollencrank.Demand{Workload: workload(0), Callers: region(0), Slots: 10})
	f.configuration.Plan = &plan
	f.configuration.Drains = []pollencrank.Drain{regionDrain(late)}
	err := planner.CheckDrain(f.configuration, regionDrain(late), start)
	var refused *planner.DrainError
	require.ErrorAs(t, err, &refused)
	require.EqualValues(t, 20, refused.Left)
	require.EqualValues(t, 26, refused.Needed)
}

func TestADrainThatStartsBeforeCallersCanBeMovedIsRefused(t *testing.T) {
	f := newFleet(2, 1, 10)
	f.configuration.Plan = f.settle(t, nil)
	for _, c := range []struct {
		start   time.Time
		refused bool
	}{
		{start, true},
		{start.Add(planner.ShiftTime(f.configuration.Preset()) - time.Second), true},
		{start.Add(planner.ShiftTime(f.configuration.Preset())), false},
	} {
		f.configuration.Drains = []pollencrank.Drain{regionDrain(c.start)}
		err := planner.CheckDrain(f.configuration, regionDrain(c.start), start)
		if !c.refused {
			require.NoError(t, err)
			continue
		}
		var refused *planner.DrainError
		require.ErrorAs(t, err, &refused)
		require.Equal(t, start.Add(planner.ShiftTime(f.configuration.Preset())), refused.EarliestStart)
	}
}

func TestTheLastServersOfAWorkloadAreNotDrained(t *testing.T) {
	f := newFleet(1, 1, 10)
	f.configuration.Drains = []pollencrank.Drain{regionDrain(start)}
	var refused *planner.DrainError
	require.ErrorAs(t, planner.CheckDrain(f.configuration, regionDrain(start), start), &refused)
	require.Zero(t, refused.Left)
}
