package runner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/acceptor"
	"github.com/pollencrank/pollencrank/receiver"
	"github.com/pollencrank/pollencrank/runner"
)

// newTwoRegions returns a fleet of an entry in the region north, which is nearest
// to all callers, and two entries in the region south, with servers in each
// failure domain.
func newTwoRegions(t *testing.T) *fleet {
	f := newFleet(t, 6)
	f.planInterval = 200 * time.Millisecond
	c := &f.config
	c.Regions = append(c.Regions, pollencrank.Region{Name: "south"})
	c.FailureDomains = append(c.FailureDomains,
		pollencrank.FailureDomain{Name: "south-1", Region: "south"}, pollencrank.FailureDomain{Name: "south-2", Region: "south"})
	for i := range c.Servers {
		c.Servers[i].FailureDomain = c.FailureDomains[i/2].Name
	}
	c.Presets[0].ShiftShare, c.Presets[0].ShiftInterval = 1, 400*time.Millisecond
	c.Locations = []pollencrank.Location{{Name: "here", Distances: map[string]time.Duration{"north": time.Millisecond, "south": 35 * time.Millisecond}}}
	c.ClientBlocks = []pollencrank.ClientBlock{{Prefix: netip.MustParsePrefix("127.0.0.0/8"), Location: "here"}}
	f.startIn("north-1-a", "north-1", "north")
	f.startIn("south-1-a", "south-1", "south")
	f.startIn("south-2-a", "south-2", "south")
	f.applyAll()
	f.waitUntilServing()
	return f
}

// firstEntryDomain looks up the workload "lookup" at an entry. It returns the
// failure domain of the first entry in the answer, or "" for a refusal.
func (f *fleet) firstEntryDomain(entry *runner.Runner) string {
	response, err := http.Get("http://" + entry.Instance().CallerAddress + receiver.LookupPath + "?workload=lookup")
	require.NoError(f.t, err)
	defer response.Body.Close()
	var answer receiver.LookupAnswer
	if response.StatusCode != http.StatusOK {
		return ""
	}
	require.NoError(f.t, json.NewDecoder(response.Body).Decode(&answer))
	return answer.Entries[0].FailureDomain
}

// plan returns the plan in the store's latest configuration, which it reads with
// a proposal that changes nothing.
func (f *fleet) plan() *pollencrank.Plan {
	var plan *pollencrank.Plan
	_, err := acceptor.New(acceptor.Config{Store: f.store}).Accept(context.Background(), acceptor.Proposal{
		OperationID: fmt.Sprint("read-", time.Now().UnixNano()),
		Edit:        func(c *pollencrank.Configuration) error { plan = c.Plan; return nil },
	})
	require.NoError(f.t, err)
	return plan
}

// A region fails, and with it the instance that may hold the planner's lease.
// Another instance acquires the lease and shifts the region's callers in steps.
func TestALostRegionsCallersAreMovedInSteps(t *testing.T) {
	f := newTwoRegions(t)
	f.eventually("the first plan", func() bool { return f.plan() != nil })
	south := f.entries["south-1-a"]
	f.eventually("callers are steered north", func() bool { return f.firstEntryDomain(south) == "north-1" })
	f.kill("north-1-a")
	f.eventually("callers are steered south", func() bool {
		domain := f.firstEntryDomain(south)
		return domain == "south-1" || domain == "south-2"
	})
	// The looked-up caller may be shifted before the last step.
	f.eventually("all callers are shifted", func() bool {
		for _, s := range f.plan().Shares {
			if s.Workload == "lookup" && s.Callers == "north" && s.Region == "south" {
				return s.After == 1
			}
		}
		return false
	})
	require.GreaterOrEqual(t, f.plan().Number, uint64(4), "three steps after the first plan")
}

// During a store outage no instance plans. The plan in force stays, and requests
// are still served.
func TestWithoutTheStoreThePlanStays(t *testing.T) {
	f := newTwoRegions(t)
	f.eventually("the first plan", func() bool { return f.plan() != nil })
	before := f.plan().Number
	f.store.SetDown(true)
	l := f.startLoad(4)
	f.waitForRuns(500)
	f.store.SetDown(false)
	require.Equal(t, before, f.plan().Number)
	l.finish(f)
}
