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

// fleet simulates failure domains whose members call each other in memory.
type fleet struct {
	members     map[string]*surveyor.Surveyor
	meters      map[string]*surveyor.Meter
	instances   []pollencrank.Instance
	unreachable map[string]bool
	mu          sync.Mutex
	messages    map[string]int
	bytes       map[string]int
}

var errUnreachable = errors.New("instance unreachable")

// memberView implements surveyor.Fleet and surveyor.Peer for one member.
type memberView struct {
	fleet *fleet
	self  pollencrank.Instance
}

func (v memberView) FailureDomains() []string {
	var names []string
	for _, m := range v.fleet.instances {
		if len(names) == 0 || names[len(names)-1] != m.FailureDomain {
			names = append(names, m.FailureDomain)
		}
	}
	return names
}

func (v memberView) Relays(failureDomain string) []pollencrank.Instance {
	var members []pollencrank.Instance
	for _, m := range v.fleet.instances {
		if m.FailureDomain == failureDomain {
			members = append(members, m)
		}
	}
	return members
}

func (v memberView) Neighbours() []pollencrank.Instance { return v.Relays(v.self.FailureDomain) }
func (v memberView) Generation() pollencrank.Generation { return 7 }
func (v memberView) Summarize(ctx context.Context, address string, request *peerpb.SummarizeRequest) (*peerpb.SummarizeResponse, error) {
	if v.fleet.unreachable[address] {
		return nil, errUnreachable
	}
	response := v.fleet.members[address].HandleSummarize(ctx, request)
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	v.fleet.messages[v.self.ID]++
	v.fleet.bytes[v.self.ID] += proto.Size(response)
	return response, nil
}

func newFleet(domains, members int) *fleet {
	f := &fleet{
		members: map[string]*surveyor.Surveyor{}, meters: map[string]*surveyor.Meter{},
		unreachable: map[string]bool{}, messages: map[string]int{}, bytes: map[string]int{},
	}
	for d := range domains {
		for m := range members {
			id := fmt.Sprintf("entry-%02d-%02d", d, m)
			f.instances = append(f.instances, pollencrank.Instance{ID: id, PeerAddress: id, FailureDomain: fmt.Sprintf("domain-%02d", d)})
		}
	}
	for _, m := range f.instances {
		meter := surveyor.NewMeter(time.Now())
		f.meters[m.ID] = meter
		f.members[m.ID] = surveyor.New(surveyor.Config{
			Self: m, Peer: memberView{f, m}, Fleet: memberView{f, m}, Meter: meter,
			Slots: func() map[string]int { return map[string]int{"w": 3} },
		})
	}
	return f
}

func TestASurveyAddsUpTheMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 4)
		for range 50 {
			for _, meter := range f.meters {
				meter.CountArrival("w", "north")
				meter.CountCompletion("w", 20*time.Millisecond, 100, 1000)
			}
			time.Sleep(100 * time.Millisecond)
		}
		f.unreachable["entry-01-00"] = true
		f.unreachable["entry-02-00"], f.unreachable["entry-02-01"], f.unreachable["entry-02-02"] = true, true, true
		survey := f.members["entry-00-01"].Survey(context.Background(), true)
		byDomain := map[string]surveyor.Domain{}
		for _, d := range survey.Domains {
			byDomain[d.FailureDomain] = d
		}
		require.Len(t, byDomain, 2, "the three members of the third domain that are queried are unreachable")
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

// Reports the messages and bytes of a survey: the planner sends one message to each
// failure domain, and a relay one to each member of its own, so that neither grows
// with the whole fleet.
func BenchmarkSurveyAtTheDesignSize(b *testing.B) {
	const domains, members, callers, workloads = 15, 43, 4, 3
	f := newFleet(domains, members)
	for _, meter := range f.meters {
		for load := range workloads {
			for c := range callers {
				meter.CountArrival(fmt.Sprintf("workload-%d", load), fmt.Sprintf("region-%d", c))
			}
			meter.CountCompletion(fmt.Sprintf("workload-%d", load), time.Millisecond, 100, 1000)
		}
	}
	for b.Loop() {
		relay := f.members["entry-01-00"].HandleSummarize(context.Background(), &peerpb.SummarizeRequest{FailureDomain: "domain-01"})
		b.ReportMetric(float64(f.bytes["entry-01-00"]), "B/relay")
		b.ReportMetric(float64(f.messages["entry-01-00"]), "messages/relay")
		b.ReportMetric(float64((domains-1)*proto.Size(relay)), "B/planner")
	}
}
