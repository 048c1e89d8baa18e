package hoster

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/pollencrank/pollencrank/namer"
)

const (
	// reachesPath is the path at which an instance says whether it reaches another one. Its
	// parameter is the ID of that one.
	reachesPath       = "/reaches"
	instanceParameter = "instance"
	// maxWitnesses is the number of instances that are asked whether they reach one that
	// counts as dead.
	maxWitnesses = 3
	// witnessTimeout limits the time to ask one of them, which probes meanwhile.
	witnessTimeout = 700 * time.Millisecond
	// maxReachesBytes limits the size of its answer.
	maxReachesBytes = 256
)

// reachesAnswer is what a witness answers.
type reachesAnswer struct {
	IsReached bool `json:"isReached"`
}

// isAlive reports whether an instance that counts as dead is reached from here now, or from
// one of a few others: a link to this instance may be at fault.
func (h *Hoster) isAlive(ctx context.Context, i namer.Instance) bool {
	var isAlive atomic.Bool
	var asked sync.WaitGroup
	asked.Go(func() {
		if h.prober.Reaches(ctx, i) {
			isAlive.Store(true)
		}
	})
	for _, witness := range h.witnesses(i) {
		asked.Go(func() {
			if h.askWitness(ctx, witness, i) {
				isAlive.Store(true)
			}
		})
	}
	asked.Wait()
	return isAlive.Load()
}

// witnesses returns a few instances at random, those of other failure domains first: what cuts
// off this one may cut off its failure domain.
func (h *Hoster) witnesses(dead namer.Instance) []namer.Instance {
	others := slices.DeleteFunc(h.roster.peers(), func(i namer.Instance) bool { return i.ID == dead.ID })
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	slices.SortStableFunc(others, func(a, b namer.Instance) int { return cmp.Compare(h.nearness(a), h.nearness(b)) })
	return others[:min(len(others), maxWitnesses)]
}

// nearness returns 1 for instances of the own failure domain, and 0 for others.
func (h *Hoster) nearness(i namer.Instance) int {
	if i.FailureDomain == h.config.Self.FailureDomain {
		return 1
	}
	return 0
}

// askWitness reports whether another instance says that it reaches one. No answer, and that of
// an earlier build, which does not know the question, say nothing.
func (h *Hoster) askWitness(ctx context.Context, witness, i namer.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	answer, err := h.requestReaches(ctx, witness, i.ID)
	return err == nil && answer.IsReached
}

func (h *Hoster) requestReaches(ctx context.Context, witness namer.Instance, id string) (reachesAnswer, error) {
	query := url.Values{instanceParameter: {id}}.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+witness.PeerAddress+reachesPath+"?"+query, nil)
	if err != nil {
		return reachesAnswer{}, err
	}
	response, err := h.peers.Do(request)
	if err != nil {
		return reachesAnswer{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return reachesAnswer{}, fmt.Errorf("instance %s: status %d", witness.ID, response.StatusCode)
	}
	var answer reachesAnswer
	err = json.NewDecoder(io.LimitReader(response.Body, maxReachesBytes)).Decode(&answer)
	return answer, err
}

// serveReaches probes an instance that the store lists, and answers whether it is reached.
func (h *Hoster) serveReaches(w http.ResponseWriter, r bunrouter.Request) error {
	id := r.URL.Query().Get(instanceParameter)
	return json.NewEncoder(w).Encode(reachesAnswer{IsReached: h.reaches(r.Context(), id)})
}

// reaches reports whether this instance, or one that it reaches, has an ID and is not stopping.
func (h *Hoster) reaches(ctx context.Context, id string) bool {
	if id == h.config.Self.ID {
		return !h.isStopping.Load()
	}
	i, isListed := h.roster.find(id)
	return isListed && h.prober.Reaches(ctx, i)
}
