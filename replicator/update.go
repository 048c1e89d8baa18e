package replicator

import (
	"errors"
	"slices"
	"time"

	"github.com/pollencrank/pollencrank/follower"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/registrar"
	"github.com/pollencrank/pollencrank/router"
)

// configurationName is the name of the only item in the configurations collection.
const configurationName = "main"

// Positions are store revisions, one for each collection. Zero means that the
// collection has not been loaded.
type Positions struct {
	Servers        follower.Position
	Configurations follower.Position
	Evacuations    follower.Position
	Instances      follower.Position
}

// IsBehind reports whether other is at a newer revision of any collection.
func (p Positions) IsBehind(other Positions) bool {
	return p.Servers < other.Servers || p.Configurations < other.Configurations ||
		p.Evacuations < other.Evacuations || p.Instances < other.Instances
}

// Cursor is the state up to which an instance has replicated the collections.
type Cursor struct {
	Positions
	// Version is the version of the configuration in force.
	Version uint64
}

// Update is a message of changes that one instance sends to another. A collection
// without changes is nil.
type Update struct {
	// ConfirmedAt is when the sender last had evidence that the store answers. It
	// is zero if the sender never had any.
	ConfirmedAt time.Time
	// IsReady is whether the sender can serve callers itself.
	IsReady       bool
	Servers       *follower.Change[registrar.Server]
	Configuration *ConfigurationUpdate
	Evacuations   *follower.Change[registrar.Evacuation]
	Instances     *follower.Change[namer.Instance]
}

// IsEmpty reports whether the update changes no collection.
func (u Update) IsEmpty() bool {
	return u.Servers == nil && u.Configuration == nil && u.Evacuations == nil && u.Instances == nil
}

// position returns the newest revision that any collection of the update reaches.
func (u Update) position() follower.Position {
	var position follower.Position
	if u.Servers != nil {
		position = max(position, u.Servers.Position)
	}
	if u.Configuration != nil {
		position = max(position, u.Configuration.Position)
	}
	if u.Evacuations != nil {
		position = max(position, u.Evacuations.Position)
	}
	if u.Instances != nil {
		position = max(position, u.Instances.Position)
	}
	return position
}

// ConfigurationUpdate is a whole configuration, or the changes from its base version.
type ConfigurationUpdate struct {
	After, Position follower.Position
	// IsWhole is whether the update replaces the whole collection.
	IsWhole  bool
	Revision follower.Position
	// BaseVersion is the version that Configuration is a change against: its routes
	// are then only those that are new or have changed. Zero means that
	// Configuration is complete.
	BaseVersion   uint64
	Configuration router.Configuration
	// RemovedRoutes are the names of the routes that the base version has and
	// Configuration has not.
	RemovedRoutes []string
	// HasBaseTenants says that the tenants are those of the base version. Otherwise
	// Configuration has all of them.
	HasBaseTenants bool
	// LacksTenants says that the sender knows no tenants. The configuration may have some.
	LacksTenants bool
}

// BaseVersionError reports a configuration change whose base version is not the
// version in force.
type BaseVersionError struct {
	Current, Base uint64
}

// Error implements error.
func (e *BaseVersionError) Error() string { return "the change has a different base version" }

// State holds the replicas of all collections. It is safe for concurrent use.
type State struct {
	Servers        *Replica[registrar.Server]
	Configurations *Replica[router.Configuration]
	Evacuations    *Replica[registrar.Evacuation]
	Instances      *Replica[namer.Instance]

	changes *notifier
	// recent holds the configurations that changes can be sent against.
	recent recentConfigurations
}

// Handlers receive the contents and changes of the collections.
type Handlers struct {
	Servers        follower.Handler[registrar.Server]
	Configurations follower.Handler[router.Configuration]
	Evacuations    follower.Handler[registrar.Evacuation]
	Instances      follower.Handler[namer.Instance]
}

// NewState returns a State whose collections have not been loaded.
func NewState(handlers Handlers) *State {
	notify := newNotifier()
	s := &State{changes: notify}
	s.Servers = newReplica("servers", handlers.Servers, notify)
	s.Configurations = newReplica("configurations", recordingHandler{handlers.Configurations, &s.recent}, notify)
	s.Configurations.isNewer = func(known, shown router.Configuration) bool { return known.Version > shown.Version }
	s.Evacuations = newReplica("evacuations", handlers.Evacuations, notify)
	s.Instances = newReplica("instances", handlers.Instances, notify)
	return s
}

// Cursor returns the positions of all collections and the version of the
// configuration in force.
func (s *State) Cursor() Cursor {
	var cursor Cursor
	cursor.Servers, _ = s.Servers.Position()
	cursor.Configurations, _ = s.Configurations.Position()
	cursor.Evacuations, _ = s.Evacuations.Position()
	cursor.Instances, _ = s.Instances.Position()
	if configuration, ok := s.Configurations.Value(configurationName); ok {
		cursor.Version = configuration.Version
	}
	return cursor
}

// Expire removes from every collection what was not written again in time after the store
// came back from an earlier copy. It has to be called periodically.
func (s *State) Expire(isStoreAvailable bool, now time.Time) {
	s.Servers.Expire(isStoreAvailable, now)
	s.Configurations.Expire(isStoreAvailable, now)
	s.Evacuations.Expire(isStoreAvailable, now)
	s.Instances.Expire(isStoreAvailable, now)
}

// IsLoaded reports whether every collection has been loaded.
func (s *State) IsLoaded() bool {
	cursor := s.Cursor()
	return cursor.Servers != 0 && cursor.Configurations != 0 && cursor.Evacuations != 0 && cursor.Instances != 0
}

// LatestRevisions returns the revision of the newest item of each collection.
func (s *State) LatestRevisions() Positions {
	return Positions{
		Servers:        s.Servers.LatestRevision(),
		Configurations: s.Configurations.LatestRevision(),
		Evacuations:    s.Evacuations.LatestRevision(),
		Instances:      s.Instances.LatestRevision(),
	}
}

// Since returns the changes after a cursor, and the cursor after these changes.
func (s *State) Since(cursor Cursor) (Update, Cursor) {
	update := Update{
		Servers:     s.Servers.Since(cursor.Servers),
		Evacuations: s.Evacuations.Since(cursor.Evacuations),
		Instances:   s.Instances.Since(cursor.Instances),
	}
	if update.Servers != nil {
		cursor.Servers = update.Servers.Position
	}
	if update.Evacuations != nil {
		cursor.Evacuations = update.Evacuations.Position
	}
	if update.Instances != nil {
		cursor.Instances = update.Instances.Position
	}
	if change := s.Configurations.Since(cursor.Configurations); change != nil {
		update.Configuration = s.configurationUpdate(change, cursor.Version)
		cursor.Configurations = change.Position
		cursor.Version = max(cursor.Version, update.Configuration.Configuration.Version)
	}
	return update, cursor
}

// configurationUpdate returns a configuration as a change against the receiver's
// version, if that is still among the recent ones. Otherwise it returns the whole
// configuration.
func (s *State) configurationUpdate(change *follower.Change[router.Configuration], baseVersion uint64) *ConfigurationUpdate {
	update := &ConfigurationUpdate{After: change.After, Position: change.Position, IsWhole: change.IsWhole}
	i := slices.IndexFunc(change.Items, func(i follower.Item[router.Configuration]) bool { return i.Name == configurationName && !i.Removed })
	if i < 0 {
		return update
	}
	next := change.Items[i].Value
	update.Revision = change.Items[i].Revision
	update.Configuration = next
	base, ok := s.recent.find(baseVersion)
	if !ok {
		return update
	}
	if changed, removed, ok := router.Diff(base.Routes, next.Routes); ok {
		update.BaseVersion = baseVersion
		update.Configuration.Routes = changed
		update.RemovedRoutes = removed
		update.shareTenants(base.Tenants)
	}
	return update
}

// Apply applies an update. It returns an error if changes in the update do not
// follow the current state; the whole state must then be fetched from the sender.
func (s *State) Apply(update Update) error {
	var faults []error
	if update.Instances != nil {
		faults = append(faults, s.Instances.ApplyChange(*update.Instances))
	}
	if update.Evacuations != nil {
		faults = append(faults, s.Evacuations.ApplyChange(*update.Evacuations))
	}
	if update.Servers != nil {
		faults = append(faults, s.Servers.ApplyChange(*update.Servers))
	}
	if update.Configuration != nil {
		faults = append(faults, s.applyConfiguration(*update.Configuration))
	}
	return errors.Join(faults...)
}

func (s *State) applyConfiguration(update ConfigurationUpdate) error {
	change := follower.Change[router.Configuration]{After: update.After, Position: update.Position, IsWhole: update.IsWhole}
	next := update.Configuration
	if next.Version == 0 {
		return s.Configurations.ApplyChange(change)
	}
	if update.LacksTenants && s.isAhead(update) {
		return s.applyWithoutTenants(update)
	}
	if update.BaseVersion != 0 {
		current, _ := s.Configurations.Value(configurationName)
		if position, _ := s.Configurations.Position(); update.Position <= position {
			return nil
		}
		if current.Version != update.BaseVersion {
			return &BaseVersionError{Current: current.Version, Base: update.BaseVersion}
		}
		next.Routes = router.Merge(current.Routes, next.Routes, update.RemovedRoutes)
		if update.HasBaseTenants {
			next.Tenants = current.Tenants
		}
	}
	// The configuration is the only item of its collection, so it replaces the
	// whole collection whatever the position was before.
	change.IsWhole = true
	change.Items = []follower.Item[router.Configuration]{{Name: configurationName, Revision: update.Revision, Value: next}}
	return s.Configurations.ApplyChange(change)
}
