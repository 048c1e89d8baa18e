package replicator

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/pollencrank/pollencrank/follower"
	"github.com/pollencrank/pollencrank/internal/newspb"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/registrar"
	"github.com/pollencrank/pollencrank/router"
)

// maxDuration bounds the durations in messages. A confirmation of this age
// may also be one that never took place.
const maxDuration = time.Hour

// errMalformed reports a message that no instance sends.
var errMalformed = errors.New("the message is malformed")

func encodeCursor(cursor Cursor) *newspb.Positions {
	return &newspb.Positions{
		Servers: uint64(cursor.Servers), Configurations: uint64(cursor.Configurations), Evacuations: uint64(cursor.Evacuations), Instances: uint64(cursor.Instances),
	}
}

func decodeCursor(m *newspb.Positions, version uint64) Cursor {
	return Cursor{
		Positions: Positions{
			Servers: follower.Position(m.GetServers()), Configurations: follower.Position(m.GetConfigurations()), Evacuations: follower.Position(m.GetEvacuations()), Instances: follower.Position(m.GetInstances()),
		},
		Version: version,
	}
}

// encode encodes an update. Points in time become durations relative to now, because
// the clocks of instances differ.
func encode(update Update, now time.Time) *newspb.News {
	m := &newspb.News{IsReady: update.IsReady}
	if unconfirmed := now.Sub(update.ConfirmedAt); unconfirmed > 0 {
		m.Unconfirmed = durationpb.New(min(unconfirmed, maxDuration))
	}
	if c := update.Servers; c != nil {
		m.Servers = &newspb.ServerChange{Range: encodeRange(c.After, c.Position, c.IsWhole)}
		for _, item := range c.Items {
			if item.Removed {
				m.Servers.Removed = append(m.Servers.Removed, item.Name)
				continue
			}
			m.Servers.Servers = append(m.Servers.Servers, encodeServer(item, now))
		}
	}
	if c := update.Evacuations; c != nil {
		m.Evacuations = &newspb.EvacuationChange{Range: encodeRange(c.After, c.Position, c.IsWhole)}
		for _, item := range c.Items {
			if item.Removed {
				m.Evacuations.Removed = append(m.Evacuations.Removed, item.Name)
				continue
			}
			m.Evacuations.FailureDomains = append(m.Evacuations.FailureDomains, item.Name)
			m.Evacuations.Revisions = append(m.Evacuations.Revisions, uint64(item.Revision))
		}
	}
	if c := update.Instances; c != nil {
		m.Instances = &newspb.InstanceChange{Range: encodeRange(c.After, c.Position, c.IsWhole)}
		for _, item := range c.Items {
			if item.Removed {
				m.Instances.Removed = append(m.Instances.Removed, item.Name)
				continue
			}
			m.Instances.Instances = append(m.Instances.Instances, encodeInstance(item))
		}
	}
	if update.Configuration != nil {
		m.Configuration = encodeConfiguration(update.Configuration)
	}
	return m
}

func encodeRange(after, position follower.Position, isWhole bool) *newspb.Range {
	return &newspb.Range{After: uint64(after), Position: uint64(position), Whole: isWhole}
}

func encodeServer(item follower.Item[registrar.Server], now time.Time) *newspb.Server {
	s := item.Value
	m := &newspb.Server{
		Id: item.Name, Revision: uint64(item.Revision), Service: s.Service, Address: s.Address, FailureDomain: s.FailureDomain,
		Region: s.Region, Slots: int32(min(s.Slots, math.MaxInt32)), Incarnation: s.Incarnation, IsLeaving: s.IsLeaving,
	}
	if left := s.ColdUntil.Sub(now); left > 0 {
		m.ColdFor = durationpb.New(left)
	}
	return m
}

func encodeInstance(item follower.Item[namer.Instance]) *newspb.Instance {
	i := item.Value
	return &newspb.Instance{
		Id: item.Name, Revision: uint64(item.Revision), Incarnation: i.Incarnation, FailureDomain: i.FailureDomain, Region: i.Region,
		CallerAddress: i.CallerAddress, PeerAddress: i.PeerAddress, Capacity: i.Capacity,
	}
}

func encodeConfiguration(update *ConfigurationUpdate) *newspb.ConfigurationChange {
	c := update.Configuration
	m := &newspb.ConfigurationChange{
		Range:         encodeRange(update.After, update.Position, update.IsWhole),
		BaseVersion:   update.BaseVersion,
		Version:       c.Version,
		Revision:      uint64(update.Revision),
		RemovedRoutes: update.RemovedRoutes,
		Limits: &newspb.Limits{
			MaxHeaderBytes: int64(c.Limits.MaxHeaderBytes),
			MaxBodyBytes:   c.Limits.MaxBodyBytes,
			HeaderTimeout:  durationpb.New(c.Limits.HeaderTimeout),
			IdleTimeout:    durationpb.New(c.Limits.IdleTimeout),
		},
	}
	for _, s := range c.Services {
		m.Services = append(m.Services, &newspb.Service{
			Name: s.Name, HealthPath: s.HealthPath, MaxConnections: int64(s.MaxConnections),
			Warmup: durationpb.New(s.Warmup), ColdRate: s.ColdRate,
		})
	}
	for i := range c.Routes {
		m.Routes = append(m.Routes, encodeRoute(&c.Routes[i]))
	}
	m.TenantState, m.Tenants = encodeTenants(update)
	return m
}

var (
	kindToMessage = map[router.Kind]newspb.RouteKind{
		router.NonIdempotent: newspb.RouteKind_ROUTE_KIND_NON_IDEMPOTENT,
		router.Idempotent:    newspb.RouteKind_ROUTE_KIND_IDEMPOTENT,
		router.Download:      newspb.RouteKind_ROUTE_KIND_DOWNLOAD,
		router.Upload:        newspb.RouteKind_ROUTE_KIND_UPLOAD,
	}
	// A kind that is missing here is router.NonIdempotent, its zero value.
	kindFromMessage = map[newspb.RouteKind]router.Kind{
		newspb.RouteKind_ROUTE_KIND_IDEMPOTENT: router.Idempotent,
		newspb.RouteKind_ROUTE_KIND_DOWNLOAD:   router.Download,
		newspb.RouteKind_ROUTE_KIND_UPLOAD:     router.Upload,
	}
)

func encodeRoute(r *router.Route) *newspb.Route {
	m := &newspb.Route{
		Name: r.Name, Host: r.Host, PathPrefix: r.PathPrefix, Kind: kindToMessage[r.Kind], Priority: int32(r.Priority),
		MaxAttempts: int32(r.MaxAttempts), HasAffinity: r.HasAffinity, HomeRegions: r.HomeRegions, Fault: r.Fault,
		IsAuthExempt: r.IsAuthExempt,
	}
	if r.Timeout > 0 {
		m.Timeout = durationpb.New(r.Timeout)
	}
	if r.LatencyObjective > 0 {
		m.LatencyObjective = durationpb.New(r.LatencyObjective)
	}
	for _, s := range r.Shares {
		m.Shares = append(m.Shares, &newspb.Share{Service: s.Service, Weight: int64(s.Weight)})
	}
	return m
}

// decode decodes a message that arrived at now. It fails on messages that no
// instance of this fleet sends, whatever its version.
func decode(m *newspb.News, now time.Time) (Update, error) {
	update := Update{IsReady: m.GetIsReady(), ConfirmedAt: now.Add(-clamp(m.GetUnconfirmed()))}
	var faults [4]error
	update.Servers, faults[0] = decodeServers(m.GetServers(), now)
	update.Evacuations, faults[1] = decodeEvacuations(m.GetEvacuations())
	update.Instances, faults[2] = decodeInstances(m.GetInstances())
	update.Configuration, faults[3] = decodeConfiguration(m.GetConfiguration())
	return update, errors.Join(faults[:]...)
}

// clamp returns a duration bounded to the range from zero to maxDuration.
func clamp(d *durationpb.Duration) time.Duration { return max(0, min(d.AsDuration(), maxDuration)) }

func newChange[V any](r *newspb.Range, count int) (*follower.Change[V], error) {
	if r.GetPosition() == 0 || r.GetAfter() > r.GetPosition() {
		return nil, fmt.Errorf("%w: from %d to %d", errMalformed, r.GetAfter(), r.GetPosition())
	}
	return &follower.Change[V]{
		After: follower.Position(r.GetAfter()), Position: follower.Position(r.GetPosition()), IsWhole: r.GetWhole(), Items: make([]follower.Item[V], 0, count),
	}, nil
}

func addRemoved[V any](change *follower.Change[V], names []string) {
	for _, name := range names {
		change.Items = append(change.Items, follower.Item[V]{Name: name, Revision: change.Position, Removed: true})
	}
}

func decodeServers(m *newspb.ServerChange, now time.Time) (*follower.Change[registrar.Server], error) {
	if m == nil {
		return nil, nil
	}
	change, err := newChange[registrar.Server](m.GetRange(), len(m.GetServers()))
	if err != nil {
		return nil, err
	}
	for _, s := range m.GetServers() {
		if s.GetId() == "" || s.GetService() == "" || s.GetAddress() == "" || s.GetFailureDomain() == "" || s.GetSlots() <= 0 {
			return nil, fmt.Errorf("%w: server %q", errMalformed, s.GetId())
		}
		server := registrar.Server{
			ID: s.GetId(), Service: s.GetService(), Address: s.GetAddress(), FailureDomain: s.GetFailureDomain(), Region: s.GetRegion(),
			Slots: int(s.GetSlots()), Incarnation: s.GetIncarnation(), IsLeaving: s.GetIsLeaving(),
		}
		if left := clamp(s.GetColdFor()); left > 0 {
			server.ColdUntil = now.Add(left)
		}
		change.Items = append(change.Items, follower.Item[registrar.Server]{Name: server.ID, Revision: follower.Position(s.GetRevision()), Value: server})
	}
	addRemoved(change, m.GetRemoved())
	return change, nil
}

func decodeEvacuations(m *newspb.EvacuationChange) (*follower.Change[registrar.Evacuation], error) {
	if m == nil {
		return nil, nil
	}
	change, err := newChange[registrar.Evacuation](m.GetRange(), len(m.GetFailureDomains()))
	if err != nil {
		return nil, err
	}
	for i, domain := range m.GetFailureDomains() {
		item := follower.Item[registrar.Evacuation]{Name: domain, Value: registrar.Evacuation{FailureDomain: domain}}
		if i < len(m.GetRevisions()) {
			item.Revision = follower.Position(m.GetRevisions()[i])
		}
		change.Items = append(change.Items, item)
	}
	addRemoved(change, m.GetRemoved())
	return change, nil
}

func decodeInstances(m *newspb.InstanceChange) (*follower.Change[namer.Instance], error) {
	if m == nil {
		return nil, nil
	}
	change, err := newChange[namer.Instance](m.GetRange(), len(m.GetInstances()))
	if err != nil {
		return nil, err
	}
	for _, i := range m.GetInstances() {
		if i.GetId() == "" || i.GetCallerAddress() == "" || i.GetPeerAddress() == "" || i.GetFailureDomain() == "" {
			return nil, fmt.Errorf("%w: instance %q", errMalformed, i.GetId())
		}
		change.Items = append(change.Items, follower.Item[namer.Instance]{
			Name: i.GetId(), Revision: follower.Position(i.GetRevision()),
			Value: namer.Instance{
				ID: i.GetId(), Incarnation: i.GetIncarnation(), FailureDomain: i.GetFailureDomain(), Region: i.GetRegion(),
				CallerAddress: i.GetCallerAddress(), PeerAddress: i.GetPeerAddress(), Capacity: i.GetCapacity(),
			},
		})
	}
	addRemoved(change, m.GetRemoved())
	return change, nil
}

func decodeConfiguration(m *newspb.ConfigurationChange) (*ConfigurationUpdate, error) {
	if m == nil {
		return nil, nil
	}
	if _, err := newChange[router.Configuration](m.GetRange(), 0); err != nil {
		return nil, err
	}
	update := &ConfigurationUpdate{
		After: follower.Position(m.GetRange().GetAfter()), Position: follower.Position(m.GetRange().GetPosition()), IsWhole: m.GetRange().GetWhole(),
		Revision: follower.Position(m.GetRevision()), BaseVersion: m.GetBaseVersion(), RemovedRoutes: m.GetRemovedRoutes(),
	}
	c := &update.Configuration
	c.Version = m.GetVersion()
	c.Limits = router.Limits{
		MaxHeaderBytes: int(m.GetLimits().GetMaxHeaderBytes()),
		MaxBodyBytes:   m.GetLimits().GetMaxBodyBytes(),
		HeaderTimeout:  clamp(m.GetLimits().GetHeaderTimeout()),
		IdleTimeout:    clamp(m.GetLimits().GetIdleTimeout()),
	}
	c.Services = make(map[string]router.Service, len(m.GetServices()))
	for _, s := range m.GetServices() {
		c.Services[s.GetName()] = router.Service{
			Name: s.GetName(), HealthPath: s.GetHealthPath(), MaxConnections: int(s.GetMaxConnections()),
			Warmup: clamp(s.GetWarmup()), ColdRate: s.GetColdRate(),
		}
	}
	c.Routes = slices.Grow(c.Routes, len(m.GetRoutes()))
	for _, r := range m.GetRoutes() {
		route, err := decodeRoute(r)
		if err != nil {
			return nil, err
		}
		c.Routes = append(c.Routes, route)
	}
	return update, decodeTenants(m, update)
}

func decodeRoute(r *newspb.Route) (router.Route, error) {
	route := router.Route{
		Name: r.GetName(), Host: r.GetHost(), PathPrefix: r.GetPathPrefix(), Kind: kindFromMessage[r.GetKind()],
		Timeout: clamp(r.GetTimeout()), LatencyObjective: clamp(r.GetLatencyObjective()), Priority: int(r.GetPriority()),
		MaxAttempts: max(int(r.GetMaxAttempts()), 1), HasAffinity: r.GetHasAffinity(), HomeRegions: r.GetHomeRegions(), Fault: r.GetFault(),
		IsAuthExempt: r.GetIsAuthExempt(),
	}
	if route.PathPrefix == "" {
		return router.Route{}, fmt.Errorf("%w: route %q", errMalformed, route.Name)
	}
	for _, s := range r.GetShares() {
		if s.GetWeight() <= 0 || s.GetWeight() > math.MaxInt32 {
			return router.Route{}, fmt.Errorf("%w: route %q has a weight of %d", errMalformed, route.Name, s.GetWeight())
		}
		route.Shares = append(route.Shares, router.Share{Service: s.GetService(), Weight: int(s.GetWeight())})
	}
	if len(route.Shares) == 0 && route.Fault == "" {
		return router.Route{}, fmt.Errorf("%w: route %q has no service", errMalformed, route.Name)
	}
	return route, nil
}
