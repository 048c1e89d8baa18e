// Package operator is a client for the operators' port of an entry.
//
// # Usage
//
//	client := operator.New(operator.Config{BaseURL: "http://127.0.0.1:7002", Token: token})
//	accepted, err := client.UsePreset(ctx, "peak", 0)
package operator

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/acceptor"
	"github.com/pollencrank/pollencrank/administrator"
	"github.com/pollencrank/pollencrank/planner"
	"github.com/pollencrank/pollencrank/receiver"
)

// Config is the configuration of a Client.
type Config struct {
	// BaseURL is the operators' address of any entry.
	BaseURL string
	Token   string
	// Author is recorded with every change.
	Author string
	Client *http.Client
}

// Client calls the operators' port of an entry.
type Client struct {
	config Config
}

// ProblemError reports a call that the entry answered with an error status.
type ProblemError struct {
	Status  int
	Problem administrator.Problem
}

// Error implements error.
func (e *ProblemError) Error() string { return e.Problem.Message }

// New returns a Client.
func New(config Config) *Client {
	const timeout = 30 * time.Second
	if config.Client == nil {
		config.Client = &http.Client{Timeout: timeout}
	}
	config.BaseURL = strings.TrimSuffix(config.BaseURL, "/")
	return &Client{config: config}
}

func call[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var result T
	var encoded bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&encoded).Encode(body); err != nil {
			return result, fmt.Errorf("encode call: %w", err)
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, c.config.BaseURL+path, &encoded)
	if err != nil {
		return result, fmt.Errorf("operator call: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+c.config.Token)
	response, err := c.config.Client.Do(request)
	if err != nil {
		return result, fmt.Errorf("operator call: %w", err)
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(response.Body)
	if response.StatusCode != http.StatusOK {
		problem := &ProblemError{Status: response.StatusCode}
		if err := decoder.Decode(&problem.Problem); err != nil {
			problem.Problem.Message = response.Status
		}
		return result, problem
	}
	if err := decoder.Decode(&result); err != nil {
		return result, fmt.Errorf("decode answer: %w", err)
	}
	return result, nil
}

// newChange returns the fields that every change has. With its operation ID the
// change can be proposed again without being accepted twice.
func (c *Client) newChange(expect pollencrank.Generation) administrator.Change {
	return administrator.Change{OperationID: rand.Text(), Author: c.config.Author, Expect: expect}
}

const (
	// maxChangeAttempts is how often a change is proposed while its outcome is unknown.
	maxChangeAttempts = 3
	// changeRetryPause is the time between two attempts.
	changeRetryPause = 200 * time.Millisecond
)

// pause waits and reports whether ctx is still alive.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// propose sends a change, and sends it again while its outcome is unknown: if the
// call fails without a response, or the entry reports an unknown outcome.
func propose(ctx context.Context, c *Client, method, path string, body any) (acceptor.Accepted, error) {
	var accepted acceptor.Accepted
	var err error
	for attempt := range maxChangeAttempts {
		if attempt > 0 && !pause(ctx, changeRetryPause) {
			return accepted, err
		}
		accepted, err = call[acceptor.Accepted](ctx, c, method, path, body)
		problem, isProblem := err.(*ProblemError)
		if err == nil || (isProblem && problem.Problem.Kind != administrator.ProblemUnknown) {
			return accepted, err
		}
	}
	return accepted, err
}

// Apply replaces the configuration in force.
func (c *Client) Apply(ctx context.Context, configuration *pollencrank.Configuration, expect pollencrank.Generation) (acceptor.Accepted, error) {
	body := administrator.ReplaceChange{Change: c.newChange(expect), Configuration: *configuration}
	return propose(ctx, c, http.MethodPut, "/v1/configuration", body)
}

// UsePreset puts a preset in force.
func (c *Client) UsePreset(ctx context.Context, preset string, expect pollencrank.Generation) (acceptor.Accepted, error) {
	body := administrator.PresetChange{Change: c.newChange(expect), Preset: preset}
	return propose(ctx, c, http.MethodPost, "/v1/preset", body)
}

// Drain takes a target out of service from start on. With force the drain is
// accepted even if too little capacity is left.
func (c *Client) Drain(ctx context.Context, target pollencrank.DrainTarget, start, deadline time.Time, force bool) (acceptor.Accepted, error) {
	body := administrator.DrainChange{Change: c.newChange(0), Target: target, Start: start, Deadline: deadline, Force: force}
	return propose(ctx, c, http.MethodPost, "/v1/drain", body)
}

// Undrain puts a drained target back into service.
func (c *Client) Undrain(ctx context.Context, target pollencrank.DrainTarget) (acceptor.Accepted, error) {
	body := administrator.DrainChange{Change: c.newChange(0), Target: target}
	return propose(ctx, c, http.MethodPost, "/v1/undrain", body)
}

// Rollback puts the contents of an earlier generation back in force.
func (c *Client) Rollback(ctx context.Context, to, expect pollencrank.Generation) (acceptor.Accepted, error) {
	body := administrator.RollbackChange{Change: c.newChange(expect), Generation: to}
	return propose(ctx, c, http.MethodPost, "/v1/rollback", body)
}

// Plan returns the plan in force.
func (c *Client) Plan(ctx context.Context) (pollencrank.Plan, error) {
	return call[pollencrank.Plan](ctx, c, http.MethodGet, "/v1/plan", nil)
}

// Preview returns the shifts that a change would cause, without making the change.
func (c *Client) Preview(ctx context.Context, request administrator.PreviewRequest) (planner.Preview, error) {
	return call[planner.Preview](ctx, c, http.MethodPost, "/v1/preview", request)
}

// Explain returns why a caller is steered to its region and entries.
func (c *Client) Explain(ctx context.Context, caller, workload string) (administrator.Explanation, error) {
	query := url.Values{"caller": {caller}, "workload": {workload}}
	return call[administrator.Explanation](ctx, c, http.MethodGet, "/v1/explain?"+query.Encode(), nil)
}

// Refusals returns the latest refusals of the entry that is called.
func (c *Client) Refusals(ctx context.Context) ([]receiver.RefusalRecord, error) {
	return call[[]receiver.RefusalRecord](ctx, c, http.MethodGet, "/v1/refusals", nil)
}

// Status returns the state of the fleet.
func (c *Client) Status(ctx context.Context) (administrator.Status, error) {
	return call[administrator.Status](ctx, c, http.MethodGet, "/v1/status", nil)
}

// Configuration returns the configuration in force.
func (c *Client) Configuration(ctx context.Context) (administrator.Document, error) {
	return call[administrator.Document](ctx, c, http.MethodGet, "/v1/configuration", nil)
}

// History returns the latest accepted changes.
func (c *Client) History(ctx context.Context) ([]acceptor.Accepted, error) {
	return call[[]acceptor.Accepted](ctx, c, http.MethodGet, "/v1/history", nil)
}
