package administrator_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/acceptor"
	"github.com/pollencrank/pollencrank/administrator"
	"github.com/pollencrank/pollencrank/distributor"
	"github.com/pollencrank/pollencrank/internal/standin"
	"github.com/pollencrank/pollencrank/operator"
	"github.com/pollencrank/pollencrank/parser"
	"github.com/pollencrank/pollencrank/planner"
	"github.com/pollencrank/pollencrank/receiver"
	"github.com/pollencrank/pollencrank/versioner"
)

const token = "a token of operators"

// fakeFleet is a fleet of three members, of which one is dead. With isLagging, one
// of the two running members does not report its generation.
type fakeFleet struct {
	store     *standin.Store
	isLagging bool
}

func (f *fakeFleet) Ready() bool                { return true }
func (f *fakeFleet) Self() pollencrank.Instance { return pollencrank.Instance{ID: "entry-1"} }
func (f *fakeFleet) StoreDown() bool            { return false }
func (f *fakeFleet) Servers() []administrator.Server {
	return []administrator.Server{{Name: "server-1", Owner: "entry-1"}}
}

func (f *fakeFleet) Refusals() []receiver.RefusalRecord {
	return []receiver.RefusalRecord{{Caller: "127.0.0.1"}}
}

func (f *fakeFleet) Summaries(context.Context) []planner.Summary {
	var summaries []planner.Summary
	c, _ := f.State().Decode()
	for _, d := range c.FailureDomains {
		summaries = append(summaries, planner.Summary{FailureDomain: d.Name, Workloads: []planner.WorkloadSummary{{Workload: "lookup", Slots: 4}}})
	}
	return summaries
}

func (f *fakeFleet) Explain(caller netip.Addr, workload string, _ time.Time) (administrator.Explanation, error) {
	if workload != "lookup" {
		return administrator.Explanation{}, &administrator.NotFoundError{Kind: "workload", Name: workload}
	}
	return administrator.Explanation{Caller: caller.String(), Workload: workload}, nil
}

func (f *fakeFleet) State() *versioner.State {
	object, err := f.store.Get(context.Background(), distributor.HeadKey)
	if err != nil {
		return nil
	}
	head, err := distributor.DecodeHead(object.Value)
	if err != nil {
		return nil
	}
	state, err := acceptor.Load(context.Background(), f.store, head)
	if err != nil {
		return nil
	}
	return state
}

func (f *fakeFleet) Members() []pollencrank.Instance {
	return []pollencrank.Instance{{ID: "entry-1"}, {ID: "entry-2"}, {ID: "entry-3", State: pollencrank.InstanceDead}}
}

func (f *fakeFleet) Survey(context.Context) map[string]pollencrank.Generation {
	generation := f.State().Generation
	generations := map[string]pollencrank.Generation{"entry-1": generation, "entry-2": generation}
	if f.isLagging {
		delete(generations, "entry-2")
	}
	return generations
}

func startServer(t *testing.T) (*operator.Client, *fakeFleet, string) {
	t.Helper()
	fleet := &fakeFleet{store: standin.NewStore()}
	server := httptest.NewServer(administrator.New(administrator.Config{
		Token: token, Fleet: fleet, Metrics: metrics.NewSet(),
		Acceptor: acceptor.New(acceptor.Config{
			Store: fleet.store,
			Check: func(c *pollencrank.Configuration) error { return parser.Check(c).Err() },
		}),
	}))
	t.Cleanup(server.Close)
	return operator.New(operator.Config{BaseURL: server.URL, Token: token, Author: "kari"}), fleet, server.URL
}

func configuration() *pollencrank.Configuration {
	return standin.MakeConfiguration(standin.Size{Regions: 1, FailureDomains: 1, Sites: 1, Locations: 1, ServersPerSite: 3, Seed: 1})
}

func problemOf(t *testing.T, err error) administrator.Problem {
	t.Helper()
	var problem *operator.ProblemError
	require.ErrorAs(t, err, &problem)
	return problem.Problem
}

func TestOperatorsPortRequiresACredential(t *testing.T) {
	_, _, url := startServer(t)
	for _, invalid := range []string{"", "wrong"} {
		_, err := operator.New(operator.Config{BaseURL: url, Token: invalid}).Status(context.Background())
		require.Equal(t, administrator.ProblemCredential, problemOf(t, err).Kind)
	}
	for path, status := range map[string]int{"/livez": 200, "/readyz": 200, "/metrics": 401, "/v1/status": 401} {
		server := httptest.NewRecorder()
		administrator.New(administrator.Config{Fleet: &fakeFleet{store: standin.NewStore()}}).ServeHTTP(server, httptest.NewRequest("GET", path, nil))
		require.Equal(t, status, server.Code, path)
	}
}

func TestChanges(t *testing.T) {
	ctx := context.Background()
	client, fleet, _ := startServer(t)
	accepted, err := client.Apply(ctx, configuration(), 0)
	require.NoError(t, err)
	require.Equal(t, pollencrank.Generation(1), accepted.Generation)
	require.Equal(t, "kari", accepted.Author)

	_, err = client.UsePreset(ctx, "peak", 0)
	require.NoError(t, err)
	_, err = client.UsePreset(ctx, "none", 0)
	require.Equal(t, administrator.ProblemNotFound, problemOf(t, err).Kind)
	_, err = client.UsePreset(ctx, "ordinary", 1)
	problem := problemOf(t, err)
	require.Equal(t, administrator.ProblemRace, problem.Kind)
	require.Equal(t, "use preset peak", problem.Winner.Summary)

	target := pollencrank.DrainTarget{Kind: pollencrank.DrainServer, Name: configuration().Servers[0].Name}
	_, err = client.Drain(ctx, target, time.Time{}, time.Time{}, false)
	require.Equal(t, administrator.ProblemDrain, problemOf(t, err).Kind, "the server is the only one of its workload")
	_, err = client.Drain(ctx, target, time.Time{}, time.Time{}, true)
	require.NoError(t, err)
	document, err := client.Configuration(ctx)
	require.NoError(t, err)
	require.Len(t, document.Configuration.Drains, 1)
	require.False(t, document.Configuration.Drains[0].Start.IsZero())
	_, err = client.Undrain(ctx, target)
	require.NoError(t, err)
	document, err = client.Configuration(ctx)
	require.NoError(t, err)
	require.Empty(t, document.Configuration.Drains)
	_, err = client.Drain(ctx, pollencrank.DrainTarget{Kind: pollencrank.DrainServer, Name: "none"}, time.Time{}, time.Time{}, false)
	require.Equal(t, administrator.ProblemNotFound, problemOf(t, err).Kind)

	faulty := configuration()
	faulty.PresetInForce = "none"
	_, err = client.Apply(ctx, faulty, 0)
	problem = problemOf(t, err)
	require.Equal(t, administrator.ProblemFaults, problem.Kind)
	require.NotEmpty(t, problem.Faults)

	history, err := client.History(ctx)
	require.NoError(t, err)
	require.Len(t, history, 4)

	_, err = client.Rollback(ctx, 1, 0)
	require.NoError(t, err)
	document, err = client.Configuration(ctx)
	require.NoError(t, err)
	require.Equal(t, "ordinary", document.Configuration.PresetInForce)
	_, err = client.Rollback(ctx, 99, 0)
	require.Equal(t, administrator.ProblemNotKept, problemOf(t, err).Kind)
	fleet.store.SetDown(true)
	_, err = client.History(ctx)
	require.Equal(t, administrator.ProblemStore, problemOf(t, err).Kind)
}

func TestStatusReportsLaggingMembers(t *testing.T) {
	ctx := context.Background()
	client, fleet, _ := startServer(t)
	_, err := client.Apply(ctx, configuration(), 0)
	require.NoError(t, err)
	status, err := client.Status(ctx)
	require.NoError(t, err)
	require.True(t, status.InForceEverywhere, "a dead member is left out")
	require.Equal(t, "ordinary", status.PresetInForce)
	fleet.isLagging = true
	status, err = client.Status(ctx)
	require.NoError(t, err)
	require.False(t, status.InForceEverywhere)
	require.False(t, status.Members[1].Reached)
}

func TestAPreviewChangesNothing(t *testing.T) {
	ctx := context.Background()
	client, fleet, _ := startServer(t)
	twoRegions := standin.MakeConfiguration(standin.Size{Regions: 2, FailureDomains: 2, Sites: 2, Locations: 2, ServersPerSite: 3, Seed: 1})
	_, err := client.Apply(ctx, twoRegions, 0)
	require.NoError(t, err)
	drain := pollencrank.NewDrain(pollencrank.DrainTarget{Kind: pollencrank.DrainRegion, Name: "region-0"}, time.Now(), time.Time{})
	preview, err := client.Preview(ctx, administrator.PreviewRequest{Drain: &drain})
	require.NoError(t, err)
	require.True(t, preview.Settled)
	require.Contains(t, preview.Shares, pollencrank.Share{Workload: "lookup", Callers: "region-0", Region: "region-1", After: 1})
	require.EqualValues(t, 1, fleet.State().Generation)
	_, err = client.Preview(ctx, administrator.PreviewRequest{Preset: "none"})
	require.Equal(t, administrator.ProblemNotFound, problemOf(t, err).Kind)
	_, err = client.Plan(ctx)
	require.Equal(t, administrator.ProblemNotFound, problemOf(t, err).Kind)
}

func TestExplain(t *testing.T) {
	ctx := context.Background()
	client, _, _ := startServer(t)
	explanation, err := client.Explain(ctx, "10.1.2.3", "lookup")
	require.NoError(t, err)
	require.Equal(t, "10.1.2.3", explanation.Caller)
	_, err = client.Explain(ctx, "nowhere", "lookup")
	require.Equal(t, administrator.ProblemMalformed, problemOf(t, err).Kind)
	_, err = client.Explain(ctx, "10.1.2.3", "none")
	require.Equal(t, administrator.ProblemNotFound, problemOf(t, err).Kind)
	refusals, err := client.Refusals(ctx)
	require.NoError(t, err)
	require.Len(t, refusals, 1)
}

// Guards against draining every instance of a region, which would leave its
// servers without an owner: of two running members one can be drained, but not
// both.
func TestTheLastInstanceOfARegionIsNotDrained(t *testing.T) {
	ctx := context.Background()
	client, _, _ := startServer(t)
	_, err := client.Apply(ctx, configuration(), 0)
	require.NoError(t, err)
	drain := func(id string, force bool) error {
		_, err := client.Drain(ctx, pollencrank.DrainTarget{Kind: pollencrank.DrainInstance, Name: id}, time.Time{}, time.Time{}, force)
		return err
	}
	require.NoError(t, drain("entry-1", false))
	require.Equal(t, administrator.ProblemDrain, problemOf(t, drain("entry-2", false)).Kind)
	require.NoError(t, drain("entry-2", true))
}
