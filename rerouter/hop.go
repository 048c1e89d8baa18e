package rerouter

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/dispatcher"
)

// Headers between instances.
const (
	// HeaderRerouted marks a request that another instance sends on, and is the number of
	// servers that it may still be sent to.
	HeaderRerouted = "Pollencrank-Rerouted"
	// headerCounted is set if the request counts for the retry budget already.
	headerCounted = "Pollencrank-Counted"
	// headerRemaining is the time until the deadline of the request.
	headerRemaining = "Pollencrank-Remaining"
	// headerVersion is the version of the configuration under which it was admitted. Its
	// second value, if any, is the version and the name of the tenant, separated by a space:
	// builds without tenants replace all values when they send a request on, so no caller can
	// forge it through them, and read the first one only. The third value, if any, is the
	// time for which the token of the tenant's quota is still valid.
	headerVersion = "Pollencrank-Version"
	// headerOutcome says in an answer of the other instance itself whether the request has
	// run, and headerReason why it was not answered.
	headerOutcome = "Pollencrank-Outcome"
	headerReason  = "Pollencrank-Reason"
)

var errNoVersion = errors.New("the version is missing")

const (
	outcomeNotRun  = "notRun"
	outcomeUnknown = "unknown"
)

// Hop tells another instance what has been done with a request.
type Hop struct {
	// MaxAttempts is the number of servers that the request may still be sent to.
	MaxAttempts int
	// IsCounted says that the request counts for the retry budget already.
	IsCounted bool
	// Version is the version of the configuration under which the request was admitted.
	Version uint64
	// Tenant is the name of the tenant whose key the request had. It is empty if there is
	// none.
	Tenant string
	// HasTenantHomes says that the tenant has home regions. An instance that knows no tenants
	// must not serve the request.
	HasTenantHomes bool
	// TokenUntil is until when the request may be sent once with the token of the tenant's
	// quota that it has. It is zero if it has none, or is of an earlier build.
	TokenUntil time.Time
	// Remaining is the time until the deadline of the request. It is decoded only; the
	// deadline is that of the request when it is sent.
	Remaining time.Duration
}

// encode adds the headers of a hop.
func (h Hop) encode(header http.Header) {
	header.Set(HeaderRerouted, strconv.Itoa(h.MaxAttempts))
	h.encodeVersion(header)
	header.Del(headerCounted)
	if h.IsCounted {
		header.Set(headerCounted, "true")
	}
}

// encodeVersion adds the version and the tenant. An instance refuses a request whose version
// it does not have yet: the largest one makes a build that knows no tenants refuse what it
// might serve in a region other than the homes.
func (h Hop) encodeVersion(header http.Header) {
	version := strconv.FormatUint(h.Version, 10)
	first := version
	if h.HasTenantHomes {
		first = strconv.FormatUint(math.MaxUint64, 10)
	}
	header.Set(headerVersion, first)
	if h.Tenant != "" {
		header.Add(headerVersion, version+" "+h.Tenant)
		if !h.TokenUntil.IsZero() {
			header.Add(headerVersion, time.Until(h.TokenUntil).String())
		}
	}
}

// decodeVersion sets the version, the tenant and the end of its token.
func (h *Hop) decodeVersion(header http.Header) error {
	values := header.Values(headerVersion)
	if len(values) == 0 {
		return errNoVersion
	}
	version := values[0]
	if len(values) > 1 {
		version, h.Tenant, _ = strings.Cut(values[1], " ")
	}
	var err error
	if h.Version, err = strconv.ParseUint(version, 10, 64); err != nil || len(values) < 3 {
		return err
	}
	validity, err := time.ParseDuration(values[2])
	h.TokenUntil = time.Now().Add(validity)
	return err
}

// DecodeHop returns what another instance says of a request, and removes its headers.
func DecodeHop(header http.Header) (Hop, error) {
	defer func() {
		for _, name := range []string{HeaderRerouted, headerCounted, headerRemaining, headerVersion} {
			header.Del(name)
		}
	}()
	var hop Hop
	var err error
	if hop.MaxAttempts, err = strconv.Atoi(header.Get(HeaderRerouted)); err != nil {
		return Hop{}, err
	}
	if err = hop.decodeVersion(header); err != nil {
		return Hop{}, err
	}
	if hop.Remaining, err = time.ParseDuration(header.Get(headerRemaining)); err != nil {
		return Hop{}, err
	}
	hop.IsCounted = header.Get(headerCounted) == "true"
	return hop, nil
}

// EncodeOutcome adds to the header of an error answer whether a rerouted request has run.
func EncodeOutcome(header http.Header, reason pollencrank.Reason, isNotRun bool) {
	header.Set(headerReason, string(reason))
	header.Set(headerOutcome, outcomeUnknown)
	if isNotRun {
		header.Set(headerOutcome, outcomeNotRun)
	}
}

// unknownOutcome returns an OutcomeUnknownError if another instance says in an answer that
// the outcome of the request is unknown.
func unknownOutcome(instance string, answer *pollencrank.Answer) error {
	if answer.Header.Get(headerOutcome) != outcomeUnknown {
		return nil
	}
	return pollencrank.OutcomeUnknown(pollencrank.Reason(answer.Header.Get(headerReason)), "instance %s does not know the outcome", instance)
}

// peerDialect is the dialect between instances. It implements dispatcher.Dialect.
type peerDialect struct{ servers dispatcher.Dialect }

// Encode implements dispatcher.Dialect.
func (peerDialect) Encode(header http.Header, _ dispatcher.Target, _ *pollencrank.Request, remaining time.Duration) {
	header.Set(headerRemaining, remaining.String())
}

// IsAnswerTo implements dispatcher.Dialect. The other instance names the request as a server
// does.
func (d peerDialect) IsAnswerTo(request *pollencrank.Request, header http.Header) bool {
	return d.servers.IsAnswerTo(request, header)
}

// Refusal implements dispatcher.Dialect. That the other instance does not reach a server
// either must not look as if that instance had not been reached; and a route or a key that it
// does not know is there by the configuration of this one.
func (peerDialect) Refusal(_ int, header http.Header) (pollencrank.Reason, bool) {
	reason := pollencrank.Reason(header.Get(headerReason))
	switch reason {
	case pollencrank.ReasonServerUnreachable, pollencrank.ReasonServerFailed:
		reason = pollencrank.ReasonNoServer
	case pollencrank.ReasonNoRoute, pollencrank.ReasonUnknownKey:
		reason = pollencrank.ReasonNotReady
	}
	return reason, header.Get(headerOutcome) == outcomeNotRun
}

// Report implements dispatcher.Dialect. The headers are those of the backend server.
func (d peerDialect) Report(status int, header http.Header) dispatcher.Report {
	return d.servers.Report(status, header)
}
