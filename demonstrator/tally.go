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

// phase tells requests during the flood from the others.
type phase int

const (
	phaseCalm phase = iota
	phaseFlood
	phaseCount
)

var phaseNames = [phaseCount]string{"calm", "flood"}

// tally counts what callers saw.
type tally struct {
	mu          sync.Mutex
	rows        [phaseCount][pollencrank.RankCount]row
	notRun      []string
	cut         []string
	broken      []string
	reasons     map[pollencrank.Reason]int
	generations map[string][]seenGeneration
	reverted    []string
	lookups     int
}

// seenGeneration is a generation with the moment at which an entry's answer with
// it had come.
type seenGeneration struct {
	at         time.Time
	generation pollencrank.Generation
}

type row struct {
	offered, served, notRun, unknown, broken, cut int
	latencies                                     []time.Duration
}

func newTally() *tally {
	return &tally{generations: map[string][]seenGeneration{}, reasons: map[pollencrank.Reason]int{}}
}

// count adds a result.
func (t *tally) count(rank pollencrank.Rank, flooding bool, result standin.Result) {
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
		t.notRun = append(t.notRun, result.Attempt)
	case standin.Unknown:
		r.unknown++
		t.reasons[result.Reason]++
	case standin.Corrupted:
		r.broken++
		t.broken = append(t.broken, result.Attempt)
	case standin.Disconnected:
		r.cut++
		t.cut = append(t.cut, result.Detail)
	}
}

// lookup checks that the generations that an entry answers with never go down: no
// answer has an older one than an answer that had come before it was asked for.
// Answers to look-ups at the same time may come in any order.
func (t *tally) lookup(answer receiver.LookupAnswer, asked time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lookups++
	seen := t.generations[answer.Instance]
	for _, earlier := range seen {
		if earlier.at.Before(asked) && answer.Generation < earlier.generation {
			t.reverted = append(t.reverted, fmt.Sprintf("%s answered with %d after %d", answer.Instance, answer.Generation, earlier.generation))
			return
		}
	}
	if len(seen) == 0 || seen[len(seen)-1].generation < answer.Generation {
		t.generations[answer.Instance] = append(seen, seenGeneration{at: time.Now(), generation: answer.Generation})
	}
}

// percentile returns a latency of a sorted list.
func percentile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// report sums up the tally.
func (t *tally) report(ledger *standin.Ledger) (rows []Row, falseNotRun int) {
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
	for _, attempt := range t.notRun {
		if ledger.HasRun(attempt) {
			falseNotRun++
		}
	}
	return rows, falseNotRun
}
