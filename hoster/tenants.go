package hoster

import (
	"log/slog"

	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/router"
)

// maxLoggedHomes limits the number of log lines about one configuration.
const maxLoggedHomes = 16

// logUnknownHomes logs the home regions of tenants that the deployment does not have. They
// stay in force: a tenant all of whose home regions are unknown is served nowhere.
func (h *Hoster) logUnknownHomes(table *router.Table) {
	regions := map[string]bool{}
	for _, region := range h.config.RegionOf {
		regions[region] = true
	}
	unknown := table.UnknownHomes(func(region string) bool { return regions[region] })
	for _, home := range unknown[:min(len(unknown), maxLoggedHomes)] {
		h.config.Log.Warn("a tenant has a home region that is not known", recorder.EventPartUnreadable.Attr(),
			slog.Uint64("version", table.Version), slog.Int("homes", len(unknown)), slog.String("tenant", home.Tenant), slog.String("region", home.Region))
	}
}
