package surveyor

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencrank/pollencrank/internal/peerpb"
)

// meterPeriod is the shortest period over which rates are computed.
const meterPeriod = 5 * time.Second

// arrivalKey identifies a counter of arrivals: a workload and the region of the
// callers.
type arrivalKey struct{ workload, callers string }

// counters accumulates the resources that completed requests have used. The field
// busy is in nanoseconds.
type counters struct {
	ended        atomic.Int64
	busy         atomic.Int64
	requestBytes atomic.Int64
	answerBytes  atomic.Int64
}

// sample holds the values of all counters at one time.
type sample struct {
	at       time.Time
	arrivals map[arrivalKey]int64
	usage    map[string]usage
}

// usage holds the values of the counters of one workload.
type usage struct {
	ended, requestBytes, answerBytes int64
	busy                             time.Duration
}

// Meter counts the requests that arrive at and complete on an instance.
type Meter struct {
	arrivals sync.Map // arrivalKey to *atomic.Int64
	usage    sync.Map // workload to *counters

	mu       sync.Mutex
	previous sample
	latest   sample
}

// NewMeter returns a Meter whose counters are zero.
func NewMeter(now time.Time) *Meter {
	m := &Meter{}
	m.previous = m.read(now)
	m.latest = m.previous
	return m
}

// CountArrival counts a request that arrives for a workload from the callers of
// a region.
func (m *Meter) CountArrival(workload, callers string) {
	key := arrivalKey{workload, callers}
	counter, ok := m.arrivals.Load(key)
	if !ok {
		counter, _ = m.arrivals.LoadOrStore(key, &atomic.Int64{})
	}
	counter.(*atomic.Int64).Add(1)
}

// CountCompletion counts a request that has released its slot, which it occupied
// for the time busy.
func (m *Meter) CountCompletion(workload string, busy time.Duration, requestBytes, answerBytes int64) {
	value, ok := m.usage.Load(workload)
	if !ok {
		value, _ = m.usage.LoadOrStore(workload, &counters{})
	}
	s := value.(*counters)
	s.ended.Add(1)
	s.busy.Add(int64(busy))
	s.requestBytes.Add(max(0, requestBytes))
	s.answerBytes.Add(answerBytes)
}

func (m *Meter) read(now time.Time) sample {
	r := sample{at: now, arrivals: map[arrivalKey]int64{}, usage: map[string]usage{}}
	m.arrivals.Range(func(key, value any) bool {
		r.arrivals[key.(arrivalKey)] = value.(*atomic.Int64).Load()
		return true
	})
	m.usage.Range(func(key, value any) bool {
		s := value.(*counters)
		r.usage[key.(string)] = usage{
			ended:        s.ended.Load(),
			requestBytes: s.requestBytes.Load(),
			answerBytes:  s.answerBytes.Load(),
			busy:         time.Duration(s.busy.Load()),
		}
		return true
	})
	return r
}

// Rates returns the rates of each workload over a period that ends now and began
// at least meterPeriod ago.
func (m *Meter) Rates(now time.Time) []*peerpb.WorkloadSummary {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.read(now)
	if now.Sub(m.latest.at) >= meterPeriod {
		m.previous, m.latest = m.latest, current
	}
	seconds := now.Sub(m.previous.at).Seconds()
	if seconds <= 0 {
		return nil
	}
	byWorkload := map[string]*peerpb.WorkloadSummary{}
	for name, w := range current.usage {
		before := m.previous.usage[name]
		s := summaryOf(byWorkload, name)
		s.EndedPerSecond = float64(w.ended-before.ended) / seconds
		s.BusySecondsPerSecond = (w.busy - before.busy).Seconds() / seconds
		s.RequestBytesPerSecond = float64(w.requestBytes-before.requestBytes) / seconds
		s.AnswerBytesPerSecond = float64(w.answerBytes-before.answerBytes) / seconds
	}
	for key, count := range current.arrivals {
		s := summaryOf(byWorkload, key.workload)
		rate := float64(count-m.previous.arrivals[key]) / seconds
		s.Arrivals = append(s.Arrivals, &peerpb.Arrivals{Callers: key.callers, PerSecond: rate})
	}
	return sorted(byWorkload)
}

func summaryOf(byWorkload map[string]*peerpb.WorkloadSummary, workload string) *peerpb.WorkloadSummary {
	if byWorkload[workload] == nil {
		byWorkload[workload] = &peerpb.WorkloadSummary{Workload: workload}
	}
	return byWorkload[workload]
}

func sorted(byWorkload map[string]*peerpb.WorkloadSummary) []*peerpb.WorkloadSummary {
	var list []*peerpb.WorkloadSummary
	for _, s := range byWorkload {
		slices.SortFunc(s.Arrivals, func(a, b *peerpb.Arrivals) int { return strings.Compare(a.Callers, b.Callers) })
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *peerpb.WorkloadSummary) int { return strings.Compare(a.Workload, b.Workload) })
	return list
}
