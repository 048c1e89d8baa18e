package runner_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/acceptor"
	"github.com/pollencrank/pollencrank/internal/standin"
)

// allPairs selects every pair of faults. By default a fifth of them runs.
var allPairs = flag.Bool("allpairs", false, "run every pair of faults")

// fault is a failure, or an action of an operator, during load.
type fault struct {
	name  string
	begin func(f *fleet)
	// end removes the fault after both faults of a pair have acted under load.
	end func(f *fleet)
}

func doNothing(*fleet) {}

var faults = []fault{
	{"store down", func(f *fleet) { f.store.SetDown(true) }, func(f *fleet) { f.store.SetDown(false) }},
	{"store slow", func(f *fleet) { f.store.SetDelay(200 * time.Millisecond) }, func(f *fleet) { f.store.SetDelay(0) }},
	{"answers of the store lost", func(f *fleet) { f.store.LoseAnswers(3) }, doNothing},
	{"entry killed", func(f *fleet) { f.kill("entry-1") }, doNothing},
	{"entry stopped as planned", func(f *fleet) {
		require.NoError(f.t, f.entries["entry-2"].Stop(context.Background()))
		delete(f.entries, "entry-2")
	}, doNothing},
	{"entry started", func(f *fleet) { f.start("entry-9") }, doNothing},
	{"server crashed", func(f *fleet) { f.backends[0].Close() }, doNothing},
	{"server drained", drainServer, doNothing},
	{"request that crashes servers", sendPoisonRequest, doNothing},
	{"operators race", raceOperators, doNothing},
	{"flood of urgent work", func(f *fleet) { f.flood = f.startLoad(20) }, func(f *fleet) { f.flood.finish(f) }},
}

// drainServer drains a server, if the store accepts the change.
func drainServer(f *fleet) {
	drained := f.config.Servers[2].Name
	_, err := f.tryAccept("drain", func(c *pollencrank.Configuration) {
		c.Drains = append(c.Drains, pollencrank.Drain{Server: drained, Start: time.Now()})
	})
	if err == nil {
		// The limit is 2 s from the first notice of a drain, here its acceptance.
		f.ledger.RecordDrainStart(drained, time.Now().Add(2*time.Second))
	}
}

// sendPoisonRequest sends a request that crashes backend servers to each entry.
func sendPoisonRequest(f *fleet) {
	caller := f.newCaller()
	defer caller.Close()
	for id, e := range f.entries {
		caller.SendTo(context.Background(), e.Instance().CallerAddress,
			standin.Call{Method: "GET", Path: "/lookup/poison", Attempt: "poison-" + id})
	}
}

// raceOperators proposes two changes to the same generation concurrently. At most
// one of them may be accepted.
func raceOperators(f *fleet) {
	const operators = 2
	accepted := make(chan bool, operators)
	for n := range operators {
		go func() {
			_, err := f.tryAcceptAt(1, fmt.Sprint("race-", n), func(c *pollencrank.Configuration) {
				c.PresetInForce = "peak"
				c.Presets[1].RetryShare = float64(n+1) / 100
			})
			accepted <- err == nil
		}()
	}
	acceptedCount := 0
	for range operators {
		if <-accepted {
			acceptedCount++
		}
	}
	require.LessOrEqual(f.t, acceptedCount, 1)
}

func (f *fleet) tryAccept(operation string, edit func(*pollencrank.Configuration)) (acceptor.Accepted, error) {
	return f.tryAcceptAt(0, operation, edit)
}

func (f *fleet) tryAcceptAt(expect pollencrank.Generation, operation string, edit func(*pollencrank.Configuration)) (acceptor.Accepted, error) {
	return acceptor.New(acceptor.Config{Store: f.store}).Accept(context.Background(), acceptor.Proposal{
		OperationID: operation, Expect: expect, Edit: func(c *pollencrank.Configuration) error {
			edit(c)
			return nil
		},
	})
}

// Two concurrent faults must not break an invariant: no order runs twice, no
// caller receives another caller's answer or a part of one, a request reported as
// not run has not run, a drained server receives no requests, and the generation
// of an entry never decreases.
func TestFaultsInPairs(t *testing.T) {
	for i, first := range faults {
		for j, second := range faults[i+1:] {
			const every = 5
			if !*allPairs && (i+j)%every != 0 {
				continue
			}
			t.Run(fmt.Sprintf("%s and %s", first.name, second.name), func(t *testing.T) {
				f := newFleet(t, 8)
				f.startAll(4)
				generations := map[string]pollencrank.Generation{}
				check := func() {
					for id, e := range f.entries {
						require.GreaterOrEqual(t, e.Generation(), generations[id], "the generation of %s decreased", id)
						generations[id] = e.Generation()
					}
				}
				l := f.startLoad(4)
				f.waitForRuns(60)
				first.begin(f)
				check()
				second.begin(f)
				f.waitForRuns(150)
				check()
				second.end(f)
				first.end(f)
				f.waitForRuns(60)
				check()
				l.finish(f)
			})
		}
	}
}
