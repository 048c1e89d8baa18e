package receiver

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/steerer"
)

// LookupEntry is an entry in the answer to a look-up.
type LookupEntry struct {
	Instance      string `json:"instance"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
}

// LookupAnswer is the JSON body of the answer to a look-up. Entries are in
// order of preference. A caller may cache the answer until CacheUntil.
type LookupAnswer struct {
	Workload   string                 `json:"workload"`
	Location   string                 `json:"location,omitempty"`
	Entries    []LookupEntry          `json:"entries"`
	CacheUntil time.Time              `json:"cacheUntil"`
	Generation pollencrank.Generation `json:"generation"`
	Instance   string                 `json:"instance"`
}

// handleLookup answers with the entries that a caller should use.
func (r *Receiver) handleLookup(w http.ResponseWriter, request bunrouter.Request) error {
	_, span := r.config.Tracer.Start(recorder.Extract(request.Context(), request.Header), "lookup")
	defer span.End()
	r.metrics.lookups.Inc()
	view := r.config.View()
	if view == nil {
		r.refuse(w, request.Request, pollencrank.NotRun(pollencrank.ReasonNotReady, "no configuration yet"))
		return nil
	}
	workload := request.URL.Query().Get("workload")
	answer, location := view.Table.Find(r.callerAddress(request.Request), workload, time.Now())
	if answer == nil {
		r.refuse(w, request.Request, pollencrank.NotRun(pollencrank.ReasonNoRoute, "unknown workload %q", workload))
		return nil
	}
	if len(answer.Entries) == 0 {
		r.refuse(w, request.Request, pollencrank.NotRun(pollencrank.ReasonNoServer, "the region that serves these callers has no server of %s", workload))
		return nil
	}
	writeLookup(w, r.config.Instance, view, answer, location)
	return nil
}

func writeLookup(w http.ResponseWriter, instance string, view *View, answer *steerer.Answer, location string) {
	cache := view.Preset.LookupCache
	body := LookupAnswer{
		Workload:   answer.Workload,
		Location:   location,
		Entries:    make([]LookupEntry, 0, len(answer.Entries)),
		CacheUntil: time.Now().Add(cache).UTC(),
		Generation: view.Generation,
		Instance:   instance,
	}
	for _, e := range answer.Entries {
		body.Entries = append(body.Entries, LookupEntry{e.ID, e.CallerAddress, e.FailureDomain})
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "private, max-age="+strconv.Itoa(int(cache/time.Second)))
	_ = json.NewEncoder(w).Encode(body)
}

// callerAddress returns the address of the caller: the remote address of the
// connection or, behind a trusted proxy, the address in X-Forwarded-For.
func (r *Receiver) callerAddress(request *http.Request) netip.Addr {
	peer, err := netip.ParseAddrPort(request.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	caller := peer.Addr().Unmap()
	if len(r.config.TrustedProxies) == 0 || !r.isTrusted(caller) {
		return caller
	}
	// The last address that is not itself a trusted proxy was added by one. The
	// addresses before it come from the caller and may be forged.
	hops := strings.Split(strings.Join(request.Header.Values("X-Forwarded-For"), ","), ",")
	for i := len(hops) - 1; i >= 0; i-- {
		hop, err := netip.ParseAddr(strings.TrimSpace(hops[i]))
		if err != nil {
			return caller
		}
		caller = hop.Unmap()
		if !r.isTrusted(caller) {
			return caller
		}
	}
	return caller
}

func (r *Receiver) isTrusted(address netip.Addr) bool {
	for _, p := range r.config.TrustedProxies {
		if p.Contains(address) {
			return true
		}
	}
	return false
}
