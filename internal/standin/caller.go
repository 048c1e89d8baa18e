package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/receiver"
)

// Outcome is the outcome of one request as the caller sees it.
type Outcome uint8

// Outcomes.
const (
	Served Outcome = iota
	NotRun
	Unknown
	// Corrupted means that an answer belongs to another request or is truncated,
	// although it was received as complete.
	Corrupted
	// Disconnected means that the connection failed, ended or timed out
	// before a complete answer was received.
	Disconnected
)

// Result describes one request of a caller.
type Result struct {
	Outcome Outcome
	Reason  pollencrank.Reason
	RetryAt time.Time
	Latency time.Duration
	Attempt string
	// Recorded reports whether the answer was recorded for an earlier request
	// with the same idempotency key.
	Recorded bool
	Detail   string
}

// CallerConfig is the configuration of a caller stand-in.
type CallerConfig struct {
	// LocalIP is the local address of the caller's connections.
	LocalIP string
	// Entries are the addresses of the entries that the caller sends look-ups to.
	Entries []string
	// Timeout limits each look-up and request. The default is 5 s.
	Timeout time.Duration
}

// Caller is a stand-in for a caller. It looks up which entries to use and caches
// the answer until its CacheUntil. It is not safe for concurrent use.
type Caller struct {
	config        CallerConfig
	client        *http.Client
	cachedAnswers map[string]receiver.LookupAnswer
	nextEntry     int
	// OnLookup is called with every answer to a look-up and the time at which the
	// look-up was sent.
	OnLookup func(answer receiver.LookupAnswer, requestedAt time.Time)
}

func NewCaller(config CallerConfig) *Caller {
	dialer := &net.Dialer{Timeout: time.Second}
	if config.LocalIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(config.LocalIP)}
	}
	if config.Timeout <= 0 {
		config.Timeout = 5 * time.Second
	}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true}
	return &Caller{
		config:        config,
		client:        &http.Client{Transport: transport, Timeout: config.Timeout},
		cachedAnswers: map[string]receiver.LookupAnswer{},
		OnLookup:      func(receiver.LookupAnswer, time.Time) {},
	}
}

// Close closes the caller's idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Lookup returns the entries to use for a workload, from the cache if possible.
// The next entry is queried if one fails or returns none.
func (c *Caller) Lookup(ctx context.Context, workload string) (receiver.LookupAnswer, error) {
	if cached, ok := c.cachedAnswers[workload]; ok && time.Now().Before(cached.CacheUntil) && len(cached.Entries) > 0 {
		return cached, nil
	}
	var err error
	for range len(c.config.Entries) {
		entry := c.config.Entries[c.nextEntry%len(c.config.Entries)]
		var answer receiver.LookupAnswer
		requestedAt := time.Now()
		answer, err = c.fetchEntries(ctx, entry, workload)
		if err == nil && len(answer.Entries) > 0 {
			c.cachedAnswers[workload] = answer
			c.OnLookup(answer, requestedAt)
			return answer, nil
		}
		c.nextEntry++
	}
	return receiver.LookupAnswer{}, fmt.Errorf("no entry answers a look-up of %s: %w", workload, err)
}

func (c *Caller) fetchEntries(ctx context.Context, entry, workload string) (receiver.LookupAnswer, error) {
	var answer receiver.LookupAnswer
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+receiver.LookupPath+"?workload="+workload, nil)
	if err != nil {
		return answer, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("status %s", response.Status)
	}
	return answer, json.NewDecoder(response.Body).Decode(&answer)
}

// Call describes a request to send.
type Call struct {
	Workload string
	Method   string
	Path     string
	Rank     string
	// Key is the idempotency key of an order.
	Key  string
	Body []byte
	// Attempt is unique to each request.
	Attempt string
	// EntryIndex selects an entry of the look-up's answer, modulo their number.
	EntryIndex int
}

// Send looks up the entries of the workload and sends the request to one of them.
func (c *Caller) Send(ctx context.Context, call Call) Result {
	answer, err := c.Lookup(ctx, call.Workload)
	if err != nil {
		return Result{Outcome: NotRun, Reason: pollencrank.ReasonNotReady, Detail: err.Error()}
	}
	entry := answer.Entries[call.EntryIndex%len(answer.Entries)]
	return c.SendTo(ctx, entry.Address, call)
}

// SendTo sends a request to one entry.
func (c *Caller) SendTo(ctx context.Context, entry string, call Call) Result {
	started := time.Now()
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+entry+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Result{Outcome: NotRun, Detail: err.Error()}
	}
	// Without GetBody, net/http cannot rewind the body and therefore does not
	// retry the request on its own.
	request.GetBody = nil
	request.Header.Set(HeaderTag, call.Attempt)
	request.Header.Set(HeaderAttempt, call.Attempt)
	if call.Rank != "" {
		request.Header.Set(receiver.HeaderRank, call.Rank)
	}
	if call.Key != "" {
		request.Header.Set(receiver.HeaderIdempotencyKey, call.Key)
		request.Header.Set(HeaderOrder, call.Key)
		// The tag of an order is its key, so that an answer recorded for an earlier
		// request with the same key has the expected tag.
		request.Header.Set(HeaderTag, call.Key)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return Result{Outcome: Disconnected, Latency: time.Since(started), Attempt: call.Attempt, Detail: err.Error()}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	result := Result{Latency: time.Since(started), Attempt: call.Attempt}
	result.Recorded = response.Header.Get("Pollencrank-Recorded") != ""
	if err != nil {
		result.Outcome, result.Detail = Disconnected, err.Error()
		return result
	}
	classify(&result, response, body, request.Header.Get(HeaderTag))
	return result
}

// classify sets the outcome and the details of a refusal from an answer.
func classify(result *Result, response *http.Response, body []byte, tag string) {
	switch response.Header.Get(receiver.HeaderOutcome) {
	case receiver.OutcomeNotRun:
		result.Outcome = NotRun
	case receiver.OutcomeUnknown:
		result.Outcome = Unknown
	default:
		if response.StatusCode == http.StatusOK && !isComplete(body, tag) {
			result.Outcome = Corrupted
		}
		return
	}
	var refusal receiver.Refusal
	if json.Unmarshal(body, &refusal) == nil {
		result.Reason = refusal.Reason
		result.Detail = refusal.Detail
		if refusal.RetryAt != nil {
			result.RetryAt = *refusal.RetryAt
		}
	}
}

// isComplete reports whether a body is a complete TaggedBody with the tag.
func isComplete(body []byte, tag string) bool {
	text := string(body)
	return strings.HasPrefix(text, tag+"\n") && strings.HasSuffix(text, "\nend "+tag)
}
