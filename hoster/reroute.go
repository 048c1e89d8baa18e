package hoster

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/registrar"
	"github.com/pollencrank/pollencrank/rerouter"
)

// cutOffMemory is how long an instance counts as cut off after it has said so.
const cutOffMemory = 2 * time.Second

// cutOffPeers remembers which instances have said that they are cut off from servers. It is
// safe for concurrent use.
type cutOffPeers struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (c *cutOffPeers) record(id string, isCutOff bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isCutOff {
		c.until[id] = now.Add(cutOffMemory)
		return
	}
	delete(c.until, id)
}

// has reports whether an instance has said so lately.
func (c *cutOffPeers) has(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.until[id])
}

func (h *Hoster) newRerouter() *rerouter.Rerouter {
	return rerouter.New(rerouter.Config{
		Self:        h.config.Self,
		Peers:       h.roster.peers,
		IsCutOff:    h.cutOffPeers.has,
		DialContext: h.dialPeer,
		Dialect:     h.config.Dialect,
		Log:         h.config.Log,
		DetectorConfig: rerouter.DetectorConfig{
			Servers:  h.probedServers,
			OnChange: h.linksChanged,
		},
	})
}

// dialPeer opens a connection to another instance.
func (h *Hoster) dialPeer(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := newDialer()
	return dialer.DialContext(ctx, network, address)
}

// probedServers returns the servers of a service by which its links can be checked.
func (h *Hoster) probedServers(service string) []rerouter.Server {
	now := time.Now()
	var servers []rerouter.Server
	for _, b := range h.registrar.Backends(service) {
		if !b.MayProbe(now) {
			continue
		}
		server := b.Server()
		servers = append(servers, rerouter.Server{ID: server.ID, Probe: func(ctx context.Context) error {
			return h.probe(ctx, server)
		}})
	}
	return servers
}

// probe returns an error unless a server answers a health probe, whatever it says.
func (h *Hoster) probe(ctx context.Context, server registrar.Server) error {
	_, err := h.sender.Probe(ctx, dispatcher.Target{
		Name: server.ID, Address: server.Address, HealthPath: h.healthPath(server.Service),
		MaxConnections: h.budgets.ConnectionLimit(h.maxConnections(server.Service), time.Now()),
	})
	return err
}

func (h *Hoster) healthPath(service string) string {
	if table := h.table.Load(); table != nil {
		return table.Services[service].HealthPath
	}
	return ""
}

func (h *Hoster) maxConnections(service string) int {
	if table := h.table.Load(); table != nil {
		return table.Services[service].MaxConnections
	}
	return 0
}

// linksChanged forgets what was observed of the servers of a service through links that
// did not work. While the store is away, a server may have started again unheard of; then
// it stays suspended, and counts as cold when it returns.
func (h *Hoster) linksChanged(service string, _ bool) {
	if h.replicator.IsStoreUnavailable() {
		return
	}
	for _, b := range h.registrar.Backends(service) {
		b.Forgive()
	}
}
