package surveyor_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/peerpb"
	"github.com/pollencrank/pollencrank/surveyor"
)

// world is failure domains of members that reach each other in memory.
type world struct {
	members   map[string]*surveyor.Surveyor
	meters    map[string]*surveyor.Meter
	instances []pollencrank.Instance
	down      map[string]bool
	mu        sync.Mutex
	messages  map[string]int
	bytes     map[string]int
}

var errDown = errors.New("down")

// view is what one member knows.
type view struct {
	world *world
	self  pollencrank.Instance
}

func (v view) FailureDomains() []string {
	var names []string
	for _, m := range v.world.instances {
		if len(names) == 0 || names[len(names)-1] != m.FailureDomain {
			names = append(names, m.FailureDomain)
		}
	}
	return names
}

func (v view) Relays(failureDomain string) []pollencrank.Instance {
	var members []pollencrank.Instance
	for _, m := range v.world.instances {
		if m.FailureDomain == failureDomain {
			members = append(members, m)
		}
	}
	return members
}

func (v view) Neighbours() []pollencrank.Instance { return v.Relays(v.self.FailureDomain) }
func (v view) Generation() pollencrank.Generation { return 7 }
func (v view) Summarize(ctx context.Context, address string, request *peerpb.SummarizeRequest) (*peerpb.SummarizeResponse, error) {
	if v.world.down[address] {
		return nil, errDown
	}
	response := v.world.members[address].HandleSummarize(ctx, request)
	v.world.mu.Lock()
	defer v.world.mu.Unlock()
	v.world.messages[v.self.ID]++
	v.world.bytes[v.self.ID] += proto.Size(response)
	return response, nil
}

func newWorld(domains, members int) *world {
	w := &world{
		members: map[string]*surveyor.Surveyor{}, meters: map[string]*surveyor.Meter{},
		down: map[string]bool{}, messages: map[string]int{}, bytes: map[string]int{},
	}
	for d := range domains {
		for m := range members {
			id := fmt.Sprintf("entry-%02d-%02d", d, m)
			w.instances = append(w.instances, pollencrank.Instance{ID: id, PeerAddress: id, FailureDomain: fmt.Sprintf("domain-%02d", d)})
		}
	}
	for _, m := range w.instances {
		meter := surveyor.NewMeter(time.Now())
		w.meters[m.ID] = meter
		w.members[m.ID] = surveyor.New(surveyor.Config{
			Self: m, Peer: view{w, m}, Fleet: view{w, m}, Meter: meter,
			Slots: func() map[string]int { return map[string]int{"w": 3} },
		})
	}
	return w
}

func TestASurveyAddsUpTheMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(3, 4)
		for range 50 {
			for _, meter := range w.meters {
				meter.CountArrival("w", "north")
				meter.CountCompletion("w", 20*time.Millisecond, 100, 1000)
			}
			time.Sleep(100 * time.Millisecond)
		}
		w.down["entry-01-00"] = true
		w.down["entry-02-00"], w.down["entry-02-01"], w.down["entry-02-02"] = true, true, true
		survey := w.members["entry-00-01"].Survey(context.Background(), true)
		byDomain := map[string]surveyor.Domain{}
		for _, d := range survey.Domains {
			byDomain[d.FailureDomain] = d
		}
		require.Len(t, byDomain, 2, "three members of the third domain are down")
		require.Len(t, survey.Generations(), 4+3)
		for domain, members := range map[string]int{"domain-00": 4, "domain-01": 3} {
			load := byDomain[domain].Workloads[0]
			require.EqualValues(t, 3*members, load.Slots)
			require.InDelta(t, 10*members, load.Arrivals[0].PerSecond, 0.01)
		}
		for _, summary := range survey.Summaries() {
			require.Equal(t, 20*time.Millisecond, summary.Workloads[0].SlotTime)
			require.InDelta(t, 1000, summary.Workloads[0].AnswerBytes, 0.01)
		}
	})
}

// The messages of a survey do not grow with the fleet: one to each failure
// domain, and in each one to its members.
func BenchmarkSurveyAtTheDesignSize(b *testing.B) {
	const domains, members, callers, workloads = 15, 43, 4, 3
	w := newWorld(domains, members)
	for _, meter := range w.meters {
		for load := range workloads {
			for c := range callers {
				meter.CountArrival(fmt.Sprintf("workload-%d", load), fmt.Sprintf("region-%d", c))
			}
			meter.CountCompletion(fmt.Sprintf("workload-%d", load), time.Millisecond, 100, 1000)
		}
	}
	for b.Loop() {
		relay := w.members["entry-01-00"].HandleSummarize(context.Background(), &peerpb.SummarizeRequest{FailureDomain: "domain-01"})
		b.ReportMetric(float64(w.bytes["entry-01-00"]), "B/relay")
		b.ReportMetric(float64(w.messages["entry-01-00"]), "messages/relay")
		b.ReportMetric(float64((domains-1)*proto.Size(relay)), "B/planner")
	}
}
