package hoster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/pollencrank/pollencrank/follower"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/prober"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/replicator"
	"github.com/pollencrank/pollencrank/rerouter"
)

const (
	// peerPath is the path at which an instance serves its state to other instances.
	peerPath = "/state"
	// maxStateBytes limits the size of another instance's encoded state.
	maxStateBytes = 4 << 10
	// peerIdleTimeout is how long an idle connection to an instance is kept.
	peerIdleTimeout = 5 * time.Second
)

// peerState is the state that an instance serves to other instances.
type peerState struct {
	Incarnation uint64 `json:"incarnation,string"`
	IsStopping  bool   `json:"isStopping"`
	IsReady     bool   `json:"isReady"`
	// IsCutOff says that the instance has lost its links to the servers of a service.
	IsCutOff bool `json:"isCutOff"`
	// Positions are the revisions of the newest items that the instance has of the
	// store's collections.
	Positions peerPositions `json:"known"`
	// Uptime is for how long the instance has run, as a duration. It is empty in answers of
	// earlier builds.
	Uptime string `json:"uptime,omitempty"`
	// Verdicts are those on instances that count as dead, or have until lately.
	Verdicts []verdictRecord `json:"verdicts,omitempty"`
}

// peerPositions is the encoding of replicator.Positions between instances.
type peerPositions struct {
	Servers        follower.Position `json:"servers,string"`
	Configurations follower.Position `json:"configurations,string"`
	Evacuations    follower.Position `json:"evacuations,string"`
	Instances      follower.Position `json:"instances,string"`
}

// peerHandler serves requests of other instances.
func (h *Hoster) peerHandler() http.Handler {
	routes := bunrouter.New()
	routes.GET(peerPath, func(w http.ResponseWriter, _ bunrouter.Request) error {
		return json.NewEncoder(w).Encode(peerState{
			Incarnation: h.config.Self.Incarnation,
			IsStopping:  h.isStopping.Load(),
			IsReady:     h.isReady(),
			IsCutOff:    h.rerouter.IsAnyCutOff(),
			Positions:   peerPositions(h.state.LatestRevisions()),
			Uptime:      h.uptime().String(),
			Verdicts:    encodeVerdicts(h.disseminator.Shown()),
		})
	})
	routes.POST(suspectsPath, func(w http.ResponseWriter, r bunrouter.Request) error {
		records, err := readSuspects(r.Body)
		if err != nil {
			h.config.Log.Warn("an instance sent malformed records of suspects", recorder.EventRequestSuspected.Attr(), slog.Any("error", err))
			w.WriteHeader(http.StatusBadRequest)
			return nil
		}
		h.mergeSuspects(records, time.Now())
		return nil
	})
	routes.POST(verdictsPath, h.serveVerdicts)
	routes.GET(reachesPath, h.serveReaches)
	routes.POST(loansPath, h.serveLoan)
	routes.GET(quotasPath, h.serveQuotas)
	routes.POST(quotaLoansPath, h.serveQuotaLoan)
	all := http.NewServeMux()
	all.Handle("/", routes)
	all.Handle(h.replicator.Handler())
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(rerouter.HeaderRerouted) != "" {
			h.relayer.ServeRerouted(w, r)
			return
		}
		all.ServeHTTP(w, r)
	})
}

func newPeerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: peerIdleTimeout}}
}

// requestState requests the state of another instance, and passes its positions on to the
// replicator.
func (h *Hoster) requestState(ctx context.Context, i namer.Instance) (prober.State, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.PeerAddress+peerPath, nil)
	if err != nil {
		return prober.State{}, err
	}
	response, err := h.peers.Do(request)
	if err != nil {
		return prober.State{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return prober.State{}, fmt.Errorf("instance %s: status %d", i.ID, response.StatusCode)
	}
	var state peerState
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStateBytes)).Decode(&state); err != nil {
		return prober.State{}, fmt.Errorf("instance %s: %w", i.ID, err)
	}
	h.membership.Confirm(time.Now())
	h.membership.ConfirmStore(h.replicator.StoreEvidence())
	h.cutOffPeers.record(i.ID, state.IsCutOff, time.Now())
	h.replicator.ObserveRevisions(i, replicator.Positions(state.Positions))
	h.observeRestart(i, state)
	h.prober.Receive(i.ID, decodeVerdicts(state.Verdicts))
	return prober.State{Incarnation: state.Incarnation, IsStopping: state.IsStopping, IsReady: state.IsReady}, nil
}

// post sends a message to another instance.
func post(ctx context.Context, client *http.Client, to namer.Instance, path string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.PeerAddress+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}
