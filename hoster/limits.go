package hoster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/pollencrank/pollencrank/apportioner"
	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/recorder"
	"github.com/pollencrank/pollencrank/registrar"
)

const (
	// loansPath is the path at which an instance lends tokens of its shares of servers'
	// rate limits.
	loansPath = "/loans"
	// maxLoanBytes limits the size of a loan request and of its answer.
	maxLoanBytes = 1 << 10
	// pauseSpreadDivisor divides the pause of a server: the instances return to it within
	// this part of the pause after its end.
	pauseSpreadDivisor = 5
)

// recordReportedLimit records the rate limit that a server names in an answer. A limit that
// cannot be decoded leaves the known one unchanged.
func (h *Hoster) recordReportedLimit(b *registrar.Backend, limit dispatcher.Limit, now time.Time) {
	if limit.IsMalformed {
		h.config.Log.Warn("a backend server names a rate limit that cannot be decoded", recorder.EventServerLimited.Attr(),
			slog.String("server", b.ID()))
		return
	}
	h.recordLimit(b, registrar.RateLimit{IsNamed: limit.IsNamed, PerSecond: limit.PerSecond, HeardAt: now})
}

// recordPause records that a server wants no requests for a while. The instances return at
// different times, so that they do not overload it at the end.
func (h *Hoster) recordPause(b *registrar.Backend, pause dispatcher.Pause, now time.Time) {
	server := slog.String("server", b.ID())
	if pause.IsMalformed {
		h.config.Log.Warn("a backend server names a pause that cannot be decoded", recorder.EventServerPaused.Attr(), server)
		return
	}
	if pause.For <= 0 {
		return
	}
	until := now.Add(pause.For + rand.N(pause.For/pauseSpreadDivisor+time.Millisecond))
	if !b.PausedUntil().After(now) {
		h.config.Log.Info("a backend server wants no requests for a while", recorder.EventServerPaused.Attr(), server,
			slog.Time("until", until))
	}
	b.Pause(until)
}

// recordLimit records what was heard of a server's rate limit, and logs a change.
func (h *Hoster) recordLimit(b *registrar.Backend, heard registrar.RateLimit) {
	if !b.RecordLimit(heard) {
		return
	}
	server := slog.String("server", b.ID())
	if !heard.IsNamed {
		h.config.Log.Info("a backend server no longer names a rate limit", recorder.EventServerUnlimited.Attr(), server)
		return
	}
	h.config.Log.Info("a backend server names a rate limit", recorder.EventServerLimited.Attr(), server,
		slog.Float64("perSecond", heard.PerSecond))
}

// isLimited reports whether a start of a server is known to name a rate limit.
func (h *Hoster) isLimited(server apportioner.Server) bool {
	b := h.registrar.Find(server.ID)
	return b != nil && b.Server().Incarnation == server.Incarnation && b.Limit().IsNamed
}

// loanRequest asks for a token for one request to a server.
type loanRequest struct {
	Server      string      `json:"server"`
	Incarnation int64       `json:"incarnation"`
	Rank        int         `json:"rank"`
	Limit       statedLimit `json:"limit"`
}

// loanAnswer is the answer to a loanRequest, with what the lender knows of the limit.
type loanAnswer struct {
	IsGranted  bool        `json:"isGranted"`
	RetryAfter string      `json:"retryAfter"`
	Limit      statedLimit `json:"limit"`
}

// statedLimit is the encoding of registrar.RateLimit between instances. Age is the time
// since it was heard, because the clocks of two instances may differ.
type statedLimit struct {
	IsNamed   bool    `json:"isNamed"`
	PerSecond float64 `json:"perSecond"`
	Age       string  `json:"age"`
}

func encodeLimit(limit registrar.RateLimit, now time.Time) statedLimit {
	return statedLimit{IsNamed: limit.IsNamed, PerSecond: limit.PerSecond, Age: now.Sub(limit.HeardAt).String()}
}

func (s statedLimit) decode(now time.Time) (registrar.RateLimit, error) {
	age, err := time.ParseDuration(s.Age)
	if err != nil {
		return registrar.RateLimit{}, err
	}
	if s.PerSecond < 0 {
		return registrar.RateLimit{}, fmt.Errorf("negative rate limit %v", s.PerSecond)
	}
	return registrar.RateLimit{IsNamed: s.IsNamed, PerSecond: s.PerSecond, HeardAt: now.Add(-max(age, 0))}, nil
}

// serveLoan answers a loan request of another instance. What either of the two has heard
// later of the server's limit counts for both.
func (h *Hoster) serveLoan(w http.ResponseWriter, r bunrouter.Request) error {
	now := time.Now()
	var request loanRequest
	err := json.NewDecoder(io.LimitReader(r.Body, maxLoanBytes)).Decode(&request)
	var stated registrar.RateLimit
	if err == nil {
		stated, err = request.Limit.decode(now)
	}
	if err != nil {
		h.config.Log.Warn("an instance sent a malformed loan request", recorder.EventLoanFailed.Attr(), slog.Any("error", err))
		w.WriteHeader(http.StatusBadRequest)
		return nil
	}
	b := h.registrar.Find(request.Server)
	if b == nil || b.Server().Incarnation != request.Incarnation {
		w.WriteHeader(http.StatusNotFound)
		return nil
	}
	h.recordLimit(b, stated)
	known := b.Limit()
	answer := loanAnswer{IsGranted: !known.IsNamed, Limit: encodeLimit(known, now)}
	if known.IsNamed {
		limit := apportioner.Limit{
			Server:    apportioner.Server{ID: request.Server, Incarnation: request.Incarnation},
			PerSecond: known.PerSecond,
		}
		loan := h.apportioner.Lend(limit, request.Rank, now)
		answer.IsGranted = loan.IsGranted
		answer.RetryAfter = max(loan.RetryAt.Sub(now), 0).String()
	}
	return json.NewEncoder(w).Encode(answer)
}

// lender requests tokens from other instances. It implements apportioner.Lender.
type lender struct{ h *Hoster }

// Borrow implements apportioner.Lender. It fails at once for an instance that does not
// serve.
func (l lender) Borrow(ctx context.Context, instance string, limit apportioner.Limit, rank int) (apportioner.Loan, error) {
	peers := l.h.roster.peers()
	i := slices.IndexFunc(peers, func(p namer.Instance) bool { return p.ID == instance })
	b := l.h.registrar.Find(limit.Server.ID)
	if i < 0 || b == nil {
		return apportioner.Loan{}, fmt.Errorf("instance %s or server %s is gone", instance, limit.Server.ID)
	}
	request := loanRequest{
		Server: limit.Server.ID, Incarnation: limit.Server.Incarnation, Rank: rank,
		Limit: encodeLimit(b.Limit(), time.Now()),
	}
	var answer loanAnswer
	if err := l.h.postToPeer(ctx, peers[i], loansPath, request, &answer); err != nil {
		return apportioner.Loan{}, err
	}
	now := time.Now()
	known, err := answer.Limit.decode(now)
	if err != nil {
		return apportioner.Loan{}, fmt.Errorf("instance %s: %w", instance, err)
	}
	l.h.recordLimit(b, known)
	if answer.IsGranted {
		return apportioner.Loan{IsGranted: true}, nil
	}
	pause, err := time.ParseDuration(answer.RetryAfter)
	if err != nil {
		return apportioner.Loan{}, fmt.Errorf("instance %s: %w", instance, err)
	}
	return apportioner.Loan{RetryAt: now.Add(pause)}, nil
}

// postToPeer sends a message to another instance and decodes its answer.
func (h *Hoster) postToPeer(ctx context.Context, peer namer.Instance, path string, message, answer any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.PeerAddress+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	// An empty value leaves the header out.
	outgoing.Header.Set("User-Agent", "")
	response, err := h.peers.Do(outgoing)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("instance %s: status %d", peer.ID, response.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxLoanBytes)).Decode(answer)
}
