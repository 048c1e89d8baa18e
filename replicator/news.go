package replicator

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank/follower"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/registrar"
	"github.com/pollencrank/pollencrank/router"
)

// configurationName is the name of the only item among the configurations.
const configurationName = "main"

// Positions are revisions of the store, one for each collection. Zero means that
// a collection is not known.
type Positions struct {
	Servers        uint64
	Configurations uint64
	Evacuations    uint64
	Instances      uint64
}

// IsBehind reports whether any collection at other's positions is newer.
func (p Positions) IsBehind(other Positions) bool {
	return p.Servers < other.Servers || p.Configurations < other.Configurations ||
		p.Evacuations < other.Evacuations || p.Instances < other.Instances
}

// Have is what an instance knows already.
type Have struct {
	Positions
	// Version is that of the configuration in force.
	Version uint64
}

// News is what one instance tells another. A collection without news is nil.
type News struct {
	// ConfirmedAt is when the sender last had a sign that the store answers. It
	// is zero if it never had.
	ConfirmedAt time.Time
	// IsReady says that the sender can serve callers itself.
	IsReady       bool
	Servers       *follower.Change[registrar.Server]
	Configuration *ConfigurationNews
	Evacuations   *follower.Change[registrar.Evacuation]
	Instances     *follower.Change[namer.Instance]
}

// IsEmpty reports whether there is no news of any collection.
func (n News) IsEmpty() bool {
	return n.Servers == nil && n.Configuration == nil && n.Evacuations == nil && n.Instances == nil
}

// position returns the latest revision up to which the news tell anything.
func (n News) position() uint64 {
	var position uint64
	if n.Servers != nil {
		position = max(position, n.Servers.Position)
	}
	if n.Configuration != nil {
		position = max(position, n.Configuration.Position)
	}
	if n.Evacuations != nil {
		position = max(position, n.Evacuations.Position)
	}
	if n.Instances != nil {
		position = max(position, n.Instances.Position)
	}
	return position
}

// ConfigurationNews is a configuration, or the changes that lead to it.
type ConfigurationNews struct {
	After, Position uint64
	// IsWhole says that there is nothing else in the collection.
	IsWhole  bool
	Revision uint64
	// BaseVersion is the version that Configuration is a change of: its routes
	// are then only those that are new or have changed. Zero means that
	// Configuration is whole.
	BaseVersion   uint64
	Configuration router.Configuration
	// RemovedRoutes are names.
	RemovedRoutes []string
}

// BaseError says that a change of the configuration does not follow on the
// version in force.
type BaseError struct {
	Have, Base uint64
}

// Error implements error.
func (e *BaseError) Error() string { return "the change is of another version of the configuration" }

// State is the copies of all collections. It is safe for concurrent use.
type State struct {
	Servers        *Replica[registrar.Server]
	Configurations *Replica[router.Configuration]
	Evacuations    *Replica[registrar.Evacuation]
	Instances      *Replica[namer.Instance]

	notify *notifier
	// recent holds configurations that changes are told against.
	recent recentConfigurations
}

// Handlers are told what the collections become.
type Handlers struct {
	Servers        follower.Handler[registrar.Server]
	Configurations follower.Handler[router.Configuration]
	Evacuations    follower.Handler[registrar.Evacuation]
	Instances      follower.Handler[namer.Instance]
}

// NewState returns copies of which nothing is known.
func NewState(handlers Handlers) *State {
	notify := newNotifier()
	s := &State{notify: notify}
	s.Servers = newReplica("servers", handlers.Servers, notify)
	s.Configurations = newReplica("configurations", rememberer{handlers.Configurations, &s.recent}, notify)
	s.Evacuations = newReplica("evacuations", handlers.Evacuations, notify)
	s.Instances = newReplica("instances", handlers.Instances, notify)
	return s
}

// Have returns what is known.
func (s *State) Have() Have {
	var have Have
	have.Servers, _ = s.Servers.Position()
	have.Configurations, _ = s.Configurations.Position()
	have.Evacuations, _ = s.Evacuations.Position()
	have.Instances, _ = s.Instances.Position()
	if configuration, ok := s.Configurations.Value(configurationName); ok {
		have.Version = configuration.Version
	}
	return have
}

// IsKnown reports whether every collection is known.
func (s *State) IsKnown() bool {
	have := s.Have()
	return have.Servers != 0 && have.Configurations != 0 && have.Evacuations != 0 && have.Instances != 0
}

// ChangedAt returns the revisions of the newest items.
func (s *State) ChangedAt() Positions {
	return Positions{
		Servers:        s.Servers.ChangedAt(),
		Configurations: s.Configurations.ChangedAt(),
		Evacuations:    s.Evacuations.ChangedAt(),
		Instances:      s.Instances.ChangedAt(),
	}
}

// Since returns what somebody lacks, and what it has after that.
func (s *State) Since(have Have) (News, Have) {
	news := News{
		Servers:     s.Servers.Since(have.Servers),
		Evacuations: s.Evacuations.Since(have.Evacuations),
		Instances:   s.Instances.Since(have.Instances),
	}
	if news.Servers != nil {
		have.Servers = news.Servers.Position
	}
	if news.Evacuations != nil {
		have.Evacuations = news.Evacuations.Position
	}
	if news.Instances != nil {
		have.Instances = news.Instances.Position
	}
	if change := s.Configurations.Since(have.Configurations); change != nil {
		news.Configuration = s.configurationNews(change, have.Version)
		have.Configurations = change.Position
		have.Version = max(have.Version, news.Configuration.Configuration.Version)
	}
	return news, have
}

// configurationNews tells a configuration as a change of the one that somebody
// has, if that is still known.
func (s *State) configurationNews(change *follower.Change[router.Configuration], have uint64) *ConfigurationNews {
	news := &ConfigurationNews{After: change.After, Position: change.Position, IsWhole: change.IsWhole}
	i := slices.IndexFunc(change.Items, func(i follower.Item[router.Configuration]) bool { return i.Name == configurationName && !i.Removed })
	if i < 0 {
		return news
	}
	next := change.Items[i].Value
	news.Revision = change.Items[i].Revision
	news.Configuration = next
	base, ok := s.recent.find(have)
	if !ok {
		return news
	}
	if changed, removed, ok := router.Difference(base.Routes, next.Routes); ok {
		news.BaseVersion = have
		news.Configuration.Routes = changed
		news.RemovedRoutes = removed
	}
	return news
}

// Take takes news. News that do not follow on what is known are an error, and
// the sender must be asked for everything.
func (s *State) Take(news News) error {
	var faults []error
	if news.Instances != nil {
		faults = append(faults, s.Instances.ApplyChange(*news.Instances))
	}
	if news.Evacuations != nil {
		faults = append(faults, s.Evacuations.ApplyChange(*news.Evacuations))
	}
	if news.Servers != nil {
		faults = append(faults, s.Servers.ApplyChange(*news.Servers))
	}
	if news.Configuration != nil {
		faults = append(faults, s.takeConfiguration(*news.Configuration))
	}
	return errors.Join(faults...)
}

func (s *State) takeConfiguration(news ConfigurationNews) error {
	change := follower.Change[router.Configuration]{After: news.After, Position: news.Position, IsWhole: news.IsWhole}
	next := news.Configuration
	if next.Version == 0 {
		return s.Configurations.ApplyChange(change)
	}
	if news.BaseVersion != 0 {
		current, _ := s.Configurations.Value(configurationName)
		if position, _ := s.Configurations.Position(); news.Position <= position {
			return nil
		}
		if current.Version != news.BaseVersion {
			return &BaseError{Have: current.Version, Base: news.BaseVersion}
		}
		next.Routes = router.Merge(current.Routes, next.Routes, news.RemovedRoutes)
	}
	// It is the only item, so nothing else needs to be known.
	change.IsWhole = true
	change.Items = []follower.Item[router.Configuration]{{Name: configurationName, Revision: news.Revision, Value: next}}
	return s.Configurations.ApplyChange(change)
}

// maxRecent is the number of configurations that changes are told against. Who
// lags further behind gets the whole one.
const maxRecent = 4

// recentConfigurations keeps the last configurations.
type recentConfigurations struct {
	mu   sync.Mutex
	last []router.Configuration
}

func (r *recentConfigurations) add(c router.Configuration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = append(r.last, c)
	if len(r.last) > maxRecent {
		r.last = slices.Delete(r.last, 0, 1)
	}
}

func (r *recentConfigurations) find(version uint64) (router.Configuration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.last {
		if c.Version == version && version != 0 {
			return c, true
		}
	}
	return router.Configuration{}, false
}

// rememberer keeps every configuration before it is passed on.
type rememberer struct {
	follower.Handler[router.Configuration]
	recent *recentConfigurations
}

// Reset implements follower.Handler.
func (r rememberer) Reset(items []follower.Item[router.Configuration]) {
	r.remember(items)
	r.Handler.Reset(items)
}

// Apply implements follower.Handler.
func (r rememberer) Apply(items []follower.Item[router.Configuration]) {
	r.remember(items)
	r.Handler.Apply(items)
}

func (r rememberer) remember(items []follower.Item[router.Configuration]) {
	for _, item := range items {
		if !item.Removed && item.Name == configurationName {
			r.recent.add(item.Value)
		}
	}
}
