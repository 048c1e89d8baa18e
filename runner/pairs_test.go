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

// allPairs runs every pair; without it, a fifth of them.
var allPairs = flag.Bool("allpairs", false, "run every pair of faults")

// fault is something that goes wrong, or an operator's act, while requests run.
type fault struct {
	name  string
	begin func(f *fleet)
	// end is called when both faults of a pair have had their effect.
	end func(f *fleet)
}

func nothing(*fleet) {}

var faults = []fault{
	{"store down", func(f *fleet) { f.store.SetDown(true) }, func(f *fleet) { f.store.SetDown(false) }},
	{"store slow", func(f *fleet) { f.store.SetDelay(200 * time.Millisecond) }, func(f *fleet) { f.store.SetDelay(0) }},
	{"answers of the store lost", func(f *fleet) { f.store.LoseAnswers(3) }, nothing},
	{"entry killed", func(f *fleet) { f.kill("entry-1") }, nothing},
	{"entry stopped as planned", func(f *fleet) {
		require.NoError(f.t, f.entries["entry-2"].Stop(context.Background()))
		delete(f.entries, "entry-2")
	}, nothing},
	{"entry started", func(f *fleet) { f.start("entry-9") }, nothing},
	{"server crashed", func(f *fleet) { f.backends[0].Close() }, nothing},
	{"server drained", drainOne, nothing},
	{"request that crashes servers", sendPoison, nothing},
	{"operators race", raceOperators, nothing},
	{"flood of urgent work", func(f *fleet) { f.flood = f.startLoad(20) }, func(f *fleet) { f.flood.finish(f) }},
}

// drainOne drains a server, if the store takes the change.
func drainOne(f *fleet) {
	drained := f.config.Servers[2].Name
	_, err := f.tryAccept("drain", func(c *pollencrank.Configuration) {
		c.Drains = append(c.Drains, pollencrank.Drain{Server: drained, Start: time.Now()})
	})
	if err == nil {
		// The promise is 2 s from the first sign.
		f.ledger.RecordDrainStart(drained, time.Now().Add(2*time.Second))
	}
}

func sendPoison(f *fleet) {
	caller := f.newCaller()
	defer caller.Close()
	for id, e := range f.entries {
		caller.SendTo(context.Background(), e.Instance().CallerAddress,
			standin.Call{Method: "GET", Path: "/lookup/poison", Attempt: "poison-" + id})
	}
}

// raceOperators has two operators change the same generation. Not both win.
func raceOperators(f *fleet) {
	const operators = 2
	won := make(chan bool, operators)
	for n := range operators {
		go func() {
			_, err := f.tryAcceptAt(1, fmt.Sprint("race-", n), func(c *pollencrank.Configuration) {
				c.PresetInForce = "peak"
				c.Presets[1].RetryShare = float64(n+1) / 100
			})
			won <- err == nil
		}()
	}
	winners := 0
	for range operators {
		if <-won {
			winners++
		}
	}
	require.LessOrEqual(f.t, winners, 1)
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

// Two faults at once break no promise: no order runs twice, no caller gets
// another's answer or a part of one, what is called not run has not run, a
// drained server gets nothing, and generations never go back.
func TestFaultsInPairs(t *testing.T) {
	for i, one := range faults {
		for j, other := range faults[i+1:] {
			const every = 5
			if !*allPairs && (i+j)%every != 0 {
				continue
			}
			t.Run(fmt.Sprintf("%s and %s", one.name, other.name), func(t *testing.T) {
				f := newFleet(t, 8)
				f.startAll(4)
				generations := map[string]pollencrank.Generation{}
				check := func() {
					for id, e := range f.entries {
						require.GreaterOrEqual(t, e.Generation(), generations[id], "%s went back", id)
						generations[id] = e.Generation()
					}
				}
				l := f.startLoad(4)
				f.progress(60)
				one.begin(f)
				check()
				other.begin(f)
				f.progress(150)
				check()
				other.end(f)
				one.end(f)
				f.progress(60)
				check()
				l.finish(f)
			})
		}
	}
}
