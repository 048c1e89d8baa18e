package pollencrank

import "time"

// DrainKind is the kind of target that a drain takes out of service.
type DrainKind string

// Kinds of drains.
const (
	DrainServer        DrainKind = "server"
	DrainInstance      DrainKind = "instance"
	DrainFailureDomain DrainKind = "failureDomain"
	DrainRegion        DrainKind = "region"
)

// DrainTarget identifies a server, an instance, a failure domain or a region
// that is taken out of service.
type DrainTarget struct {
	Kind DrainKind `json:"kind"`
	Name string    `json:"name"`
}

// Drain takes a backend server, an instance, a failure domain or a region out
// of service from Start on. Exactly one of the first four fields is set.
type Drain struct {
	Server        string    `yaml:"server,omitempty" json:"server,omitempty"`
	Instance      string    `yaml:"instance,omitempty" json:"instance,omitempty"`
	FailureDomain string    `yaml:"failureDomain,omitempty" json:"failureDomain,omitempty"`
	Region        string    `yaml:"region,omitempty" json:"region,omitempty"`
	Start         time.Time `yaml:"start" json:"start"`
	Deadline      time.Time `yaml:"deadline" json:"deadline"`
}

// NewDrain returns the drain of a target.
func NewDrain(target DrainTarget, start, deadline time.Time) Drain {
	d := Drain{Start: start, Deadline: deadline}
	switch target.Kind {
	case DrainServer:
		d.Server = target.Name
	case DrainInstance:
		d.Instance = target.Name
	case DrainFailureDomain:
		d.FailureDomain = target.Name
	case DrainRegion:
		d.Region = target.Name
	}
	return d
}

// Targets returns the targets that d takes out of service. A valid drain has
// exactly one.
func (d Drain) Targets() []DrainTarget {
	var targets []DrainTarget
	for _, t := range []DrainTarget{
		{DrainServer, d.Server},
		{DrainInstance, d.Instance},
		{DrainFailureDomain, d.FailureDomain},
		{DrainRegion, d.Region},
	} {
		if t.Name != "" {
			targets = append(targets, t)
		}
	}
	return targets
}

// Target returns the first target of d, or the zero target if d has none.
func (d Drain) Target() DrainTarget {
	if targets := d.Targets(); len(targets) > 0 {
		return targets[0]
	}
	return DrainTarget{}
}

// HasStarted reports whether d has started at the time now.
func (d Drain) HasStarted(now time.Time) bool { return !now.Before(d.Start) }

// IsDraining reports whether a drain of a server, or of its failure domain or
// region, has started at the time now.
func (c *Configuration) IsDraining(server Server, now time.Time) bool {
	for _, d := range c.Drains {
		if !d.HasStarted(now) {
			continue
		}
		if d.Server == server.Name && d.Server != "" {
			return true
		}
		if c.drainsDomain(d, server.FailureDomain) {
			return true
		}
	}
	return false
}

// IsInstanceDraining reports whether a drain of an instance, or of its failure
// domain or region, has started at the time now.
func (c *Configuration) IsInstanceDraining(instance Instance, now time.Time) bool {
	for _, d := range c.Drains {
		if !d.HasStarted(now) {
			continue
		}
		if d.Instance == instance.ID && d.Instance != "" {
			return true
		}
		if c.drainsDomain(d, instance.FailureDomain) {
			return true
		}
	}
	return false
}

func (c *Configuration) drainsDomain(d Drain, failureDomain string) bool {
	if d.FailureDomain != "" {
		return d.FailureDomain == failureDomain
	}
	return d.Region != "" && d.Region == c.RegionOf(failureDomain)
}
