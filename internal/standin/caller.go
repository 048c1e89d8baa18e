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

// Outcome is what a caller made of one request.
type Outcome uint8

// Outcomes.
const (
	Served Outcome = iota
	NotRun
	Unknown
	// Broken is an answer that is not the caller's own or not whole, though
	// it looked complete.
	Broken
	// Cut is a connection that ended without an answer.
	Cut
)

// Result describes one request of a caller.
type Result struct {
	Outcome Outcome
	Reason  pollencrank.Reason
	RetryAt time.Time
	Latency time.Duration
	Attempt string
	// Repeated says that the answer was recorded for an earlier request.
	Repeated bool
	Detail   string
}

// CallerConfig is the configuration of a caller stand-in.
type CallerConfig struct {
	// LocalIP is the address that the caller comes from.
	LocalIP string
	// Entries are the addresses that the caller asks first.
	Entries []string
	Timeout time.Duration
}

// Caller is a stand-in for a caller. It asks the system which entries to use
// and keeps the answer for as long as it may. It is not safe for concurrent
// use.
type Caller struct {
	config  CallerConfig
	client  *http.Client
	answers map[string]receiver.LookupAnswer
	next    int
	// OnLookup is told every answer to a look-up, and when it was asked.
	OnLookup func(answer receiver.LookupAnswer, asked time.Time)
}

// NewCaller returns a caller.
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
		config:   config,
		client:   &http.Client{Transport: transport, Timeout: config.Timeout},
		answers:  map[string]receiver.LookupAnswer{},
		OnLookup: func(receiver.LookupAnswer, time.Time) {},
	}
}

// Close closes the caller's connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Lookup returns the entries to use for a workload.
func (c *Caller) Lookup(ctx context.Context, workload string) (receiver.LookupAnswer, error) {
	if known, ok := c.answers[workload]; ok && time.Now().Before(known.CacheUntil) && len(known.Entries) > 0 {
		return known, nil
	}
	var err error
	for range len(c.config.Entries) {
		entry := c.config.Entries[c.next%len(c.config.Entries)]
		var answer receiver.LookupAnswer
		asked := time.Now()
		answer, err = c.ask(ctx, entry, workload)
		if err == nil && len(answer.Entries) > 0 {
			c.answers[workload] = answer
			c.OnLookup(answer, asked)
			return answer, nil
		}
		c.next++
	}
	return receiver.LookupAnswer{}, fmt.Errorf("no entry answers a look-up of %s: %w", workload, err)
}

func (c *Caller) ask(ctx context.Context, entry, workload string) (receiver.LookupAnswer, error) {
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

// Call is one request to send.
type Call struct {
	Workload string
	Method   string
	Path     string
	Rank     string
	// Key is the idempotency key of an order.
	Key     string
	Body    []byte
	Attempt string
	// Choice selects an entry of the look-up's answer.
	Choice int
}

// Send performs a look-up and a request.
func (c *Caller) Send(ctx context.Context, call Call) Result {
	answer, err := c.Lookup(ctx, call.Workload)
	if err != nil {
		return Result{Outcome: NotRun, Reason: pollencrank.ReasonNotReady, Detail: err.Error()}
	}
	entry := answer.Entries[call.Choice%len(answer.Entries)]
	return c.SendTo(ctx, entry.Address, call)
}

// SendTo sends a request to one entry.
func (c *Caller) SendTo(ctx context.Context, entry string, call Call) Result {
	started := time.Now()
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+entry+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Result{Outcome: NotRun, Detail: err.Error()}
	}
	// A body that cannot be rewound keeps net/http from repeating the request
	// on its own.
	request.GetBody = nil
	request.Header.Set(HeaderTag, call.Attempt)
	request.Header.Set(HeaderAttempt, call.Attempt)
	if call.Rank != "" {
		request.Header.Set(receiver.HeaderRank, call.Rank)
	}
	if call.Key != "" {
		request.Header.Set(receiver.HeaderIdempotencyKey, call.Key)
		request.Header.Set(HeaderOrder, call.Key)
		// The tag of an order is its key, so that a recorded answer fits.
		request.Header.Set(HeaderTag, call.Key)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return Result{Outcome: Cut, Latency: time.Since(started), Attempt: call.Attempt, Detail: err.Error()}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	result := Result{Latency: time.Since(started), Attempt: call.Attempt}
	result.Repeated = response.Header.Get("Pollencrank-Recorded") != ""
	if err != nil {
		result.Outcome, result.Detail = Cut, err.Error()
		return result
	}
	judge(&result, response, body, request.Header.Get(HeaderTag))
	return result
}

// judge decides what an answer means.
func judge(result *Result, response *http.Response, body []byte, tag string) {
	switch response.Header.Get(receiver.HeaderOutcome) {
	case receiver.OutcomeNotRun:
		result.Outcome = NotRun
	case receiver.OutcomeUnknown:
		result.Outcome = Unknown
	default:
		if response.StatusCode == http.StatusOK && !isWhole(body, tag) {
			result.Outcome = Broken
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

func isWhole(body []byte, tag string) bool {
	text := string(body)
	return strings.HasPrefix(text, tag+"\n") && strings.HasSuffix(text, "\nend "+tag)
}
