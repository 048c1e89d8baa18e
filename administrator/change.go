package administrator

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/acceptor"
	"github.com/pollencrank/pollencrank/planner"
)

// NotFoundError reports that a call names an object that does not exist.
type NotFoundError struct {
	Kind string
	Name string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%s %q does not exist", e.Kind, e.Name)
}

// LastInstanceError reports that an instance cannot be drained, because no other
// instance of its region could own its servers.
type LastInstanceError struct {
	Instance string
}

// Error implements error.
func (e *LastInstanceError) Error() string {
	return fmt.Sprintf("no other instance of the region of %s can own its servers", e.Instance)
}

// replace replaces the whole configuration in force.
func (h *handler) replace(w http.ResponseWriter, r bunrouter.Request) error {
	change, ok := decode[ReplaceChange](w, r)
	if !ok {
		return nil
	}
	return h.acceptProposal(w, r, change.Change, "apply a configuration", true, func(c *pollencrank.Configuration) error {
		*c = change.Configuration
		return nil
	})
}

// preset puts another preset in force.
func (h *handler) preset(w http.ResponseWriter, r bunrouter.Request) error {
	change, ok := decode[PresetChange](w, r)
	if !ok {
		return nil
	}
	return h.accept(w, r, change.Change, "use preset "+change.Preset, func(c *pollencrank.Configuration) error {
		if !slices.ContainsFunc(c.Presets, func(p pollencrank.Preset) bool { return p.Name == change.Preset }) {
			return &NotFoundError{Kind: "preset", Name: change.Preset}
		}
		c.PresetInForce = change.Preset
		return nil
	})
}

// drain takes a backend server, an instance, a failure domain or a region out of
// service.
func (h *handler) drain(w http.ResponseWriter, r bunrouter.Request) error {
	change, ok := decode[DrainChange](w, r)
	if !ok {
		return nil
	}
	drain := pollencrank.NewDrain(change.Target, change.Start, change.Deadline)
	if drain.Start.IsZero() {
		drain.Start = time.Now().UTC()
	}
	return h.accept(w, r, change.Change, "drain "+describeTarget(change.Target), func(c *pollencrank.Configuration) error {
		return h.addDrain(c, drain, change.Force)
	})
}

// addDrain adds a drain. Without force it refuses a drain that leaves too little
// capacity, or leaves servers without an owner.
func (h *handler) addDrain(c *pollencrank.Configuration, drain pollencrank.Drain, force bool) error {
	if err := h.checkTarget(c, drain.Target()); err != nil {
		return err
	}
	c.Drains = append(withoutDrain(c.Drains, drain.Target()), drain)
	if force {
		return nil
	}
	if err := h.checkInstanceDrain(c, drain.Target()); err != nil {
		return err
	}
	return planner.CheckDrain(c, drain, time.Now())
}

// undrain puts a drained target back into service.
func (h *handler) undrain(w http.ResponseWriter, r bunrouter.Request) error {
	change, ok := decode[DrainChange](w, r)
	if !ok {
		return nil
	}
	return h.accept(w, r, change.Change, "undrain "+describeTarget(change.Target), func(c *pollencrank.Configuration) error {
		if err := h.checkTarget(c, change.Target); err != nil && !hasDrain(c, change.Target) {
			return err
		}
		c.Drains = withoutDrain(c.Drains, change.Target)
		return nil
	})
}

// checkInstanceDrain returns LastInstanceError for the drain of the last instance
// of a region, because no instance would be left to own its servers.
func (h *handler) checkInstanceDrain(c *pollencrank.Configuration, target pollencrank.DrainTarget) error {
	if target.Kind != pollencrank.DrainInstance {
		return nil
	}
	members := h.config.Fleet.Members()
	drained := slices.IndexFunc(members, func(m pollencrank.Instance) bool { return m.ID == target.Name })
	for _, m := range members {
		isOther := m.ID != target.Name && drained >= 0 && m.Region == members[drained].Region
		if isOther && m.State.CanOwn() && !hasDrain(c, pollencrank.DrainTarget{Kind: pollencrank.DrainInstance, Name: m.ID}) {
			return nil
		}
	}
	return &LastInstanceError{Instance: target.Name}
}

func describeTarget(target pollencrank.DrainTarget) string {
	return fmt.Sprintf("%s %s", target.Kind, target.Name)
}

// checkTarget returns NotFoundError for a target that does not exist.
func (h *handler) checkTarget(c *pollencrank.Configuration, target pollencrank.DrainTarget) error {
	exists := false
	switch target.Kind {
	case pollencrank.DrainServer:
		exists = slices.ContainsFunc(c.Servers, func(s pollencrank.Server) bool { return s.Name == target.Name })
	case pollencrank.DrainInstance:
		exists = slices.ContainsFunc(h.config.Fleet.Members(), func(m pollencrank.Instance) bool { return m.ID == target.Name })
	case pollencrank.DrainFailureDomain:
		exists = slices.ContainsFunc(c.FailureDomains, func(d pollencrank.FailureDomain) bool { return d.Name == target.Name })
	case pollencrank.DrainRegion:
		exists = slices.ContainsFunc(c.Regions, func(r pollencrank.Region) bool { return r.Name == target.Name })
	}
	if !exists {
		return &NotFoundError{Kind: string(target.Kind), Name: target.Name}
	}
	return nil
}

func hasDrain(c *pollencrank.Configuration, target pollencrank.DrainTarget) bool {
	return slices.ContainsFunc(c.Drains, func(d pollencrank.Drain) bool { return d.Target() == target })
}

func withoutDrain(drains []pollencrank.Drain, target pollencrank.DrainTarget) []pollencrank.Drain {
	return slices.DeleteFunc(slices.Clone(drains), func(d pollencrank.Drain) bool { return d.Target() == target })
}

// rollback puts the contents of an earlier generation back in force.
func (h *handler) rollback(w http.ResponseWriter, r bunrouter.Request) error {
	change, ok := decode[RollbackChange](w, r)
	if !ok {
		return nil
	}
	summary := fmt.Sprintf("roll back to generation %d", change.Generation)
	return h.answerProposal(w, change.Change, summary, func(proposal acceptor.Proposal) (acceptor.Accepted, error) {
		return h.config.Acceptor.Rollback(r.Context(), change.Generation, proposal)
	})
}
