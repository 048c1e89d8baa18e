package demonstrator

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/standin"
	"github.com/pollencrank/pollencrank/receiver"
)

// phase separates the requests sent during the flood from all others.
type phase int

const (
	phaseCalm phase = iota
	phaseFlood
	phaseCount
)

var phaseNames = [phaseCount]string{"calm", "flood"}

// tally counts the results of requests and look-ups, as callers saw them. It is safe for
// concurrent use.
type tally struct {
	mu                sync.Mutex
	rows              [phaseCount][pollencrank.RankCount]row
	refused           []string
	brokenConnections []string
	wrongAnswers      []string
	reasons           map[pollencrank.Reason]int
	generations       map[string][]observedGeneration
	reversions        []string
	lookups           int
}

// observedGeneration is a generation in an entry's look-up answer, with the time at which
// the answer was received.
type observedGeneration struct {
	at         time.Time
	generation pollencrank.Generation
}

type row struct {
	offered, served, notRun, unknown, wrong, cut int
	latencies                                    []time.Duration
}

func newTally() *tally {
	return &tally{generations: map[string][]observedGeneration{}, reasons: map[pollencrank.Reason]int{}}
}

// countResult counts the result of a request.
func (t *tally) countResult(rank pollencrank.Rank, flooding bool, result standin.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := phaseCalm
	if flooding {
		p = phaseFlood
	}
	r := &t.rows[p][rank]
	r.offered++
	switch result.Outcome {
	case standin.Served:
		r.served++
		r.latencies = append(r.latencies, result.Latency)
	case standin.NotRun:
		r.notRun++
		t.reasons[result.Reason]++
		t.refused = append(t.refused, result.Attempt)
	case standin.Unknown:
		r.unknown++
		t.reasons[result.Reason]++
	case standin.Corrupted:
		r.wrong++
		t.wrongAnswers = append(t.wrongAnswers, result.Attempt)
	case standin.Disconnected:
		r.cut++
		t.brokenConnections = append(t.brokenConnections, result.Detail)
	}
}

// checkLookup checks that the generations in the answers of an entry never decrease: no
// answer may have an older generation than an answer that was received before its look-up
// was sent. Answers to concurrent look-ups may arrive in any order.
func (t *tally) checkLookup(answer receiver.LookupAnswer, requestedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lookups++
	observed := t.generations[answer.Instance]
	for _, earlier := range observed {
		if earlier.at.Before(requestedAt) && answer.Generation < earlier.generation {
			t.reversions = append(t.reversions, fmt.Sprintf("%s answered with %d after %d", answer.Instance, answer.Generation, earlier.generation))
			return
		}
	}
	if len(observed) == 0 || observed[len(observed)-1].generation < answer.Generation {
		t.generations[answer.Instance] = append(observed, observedGeneration{at: time.Now(), generation: answer.Generation})
	}
}

// percentile returns the latency at a share of a sorted list, or zero if the list is
// empty.
func percentile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// reportRows returns the rows of the report and the number of requests that were refused
// as not run but ran on a backend server.
func (t *tally) reportRows(ledger *standin.Ledger) (rows []Row, falseNotRun int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for p := range phaseCount {
		for _, rank := range pollencrank.Ranks() {
			r := &t.rows[p][rank]
			slices.Sort(r.latencies)
			rows = append(rows, Row{
				Phase:   phaseNames[p],
				Rank:    rank.String(),
				Offered: r.offered,
				Served:  r.served,
				NotRun:  r.notRun,
				Unknown: r.unknown,
				P50:     percentile(r.latencies, 0.5),
				P99:     percentile(r.latencies, 0.99),
				Max:     percentile(r.latencies, 1),
			})
		}
	}
	for _, attempt := range t.refused {
		if ledger.HasRun(attempt) {
			falseNotRun++
		}
	}
	return rows, falseNotRun
}
