package coordinator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/deduplicator"
	"github.com/pollencrank/pollencrank/internal/peerpb"
	"github.com/pollencrank/pollencrank/replayer"
)

const (
	// defaultRetention is how long repeats are recognised by default.
	defaultRetention = 10 * time.Minute
	// firstPoll and longestPoll pace a repeat that waits for the first
	// request to end.
	firstPoll   = 10 * time.Millisecond
	longestPoll = 200 * time.Millisecond
)

// HeaderRepeated is set on the recorded answer to a repeated request.
const HeaderRepeated = "Pollencrank-Recorded"

// runOnce runs a request under a claim on its idempotency key.
func (c *Coordinator) runOnce(ctx context.Context, request *pollencrank.Request) (*pollencrank.Answer, error) {
	copied := *request
	request = &copied
	fingerprint, err := fingerprintOf(request)
	if err != nil {
		return nil, pollencrank.NotRun(pollencrank.ReasonMalformed, "read the request body: %v", err)
	}
	claim := deduplicator.Claim{
		Key:         request.Workload + "/" + request.Key,
		Fingerprint: fingerprint,
		Deadline:    request.Deadline,
		Expires:     time.Now().Add(c.retention(request.Workload)),
	}
	response := c.waitForClaim(ctx, &claim)
	if response.Verdict != peerpb.ClaimResponse_VERDICT_GRANTED {
		return answerRepeat(response)
	}
	if ctx.Err() != nil {
		c.config.Claimer.Settle(claim, peerpb.SettleRequest_RESULT_NOT_RUN, nil)
		return nil, pollencrank.NotRun(pollencrank.ReasonCallerGone, "the caller left before the request was sent")
	}
	answer, err := c.run(ctx, request)
	if err != nil {
		c.config.Claimer.Settle(claim, resultOf(err), nil)
		return nil, err
	}
	answer.Body = c.record(claim, answer)
	return answer, nil
}

func (c *Coordinator) retention(workload string) time.Duration {
	if c.config.KeyRetention == nil {
		return defaultRetention
	}
	if retention := c.config.KeyRetention(workload); retention > 0 {
		return retention
	}
	return defaultRetention
}

func resultOf(err error) peerpb.SettleRequest_Result {
	if pollencrank.IsNotRun(err) {
		return peerpb.SettleRequest_RESULT_NOT_RUN
	}
	return peerpb.SettleRequest_RESULT_UNKNOWN
}

// fingerprintOf identifies a request and its caller, so that a key used for
// something else, or by someone else, is noticed. It reads up to
// replayer.MaxBytes of the body.
func fingerprintOf(request *pollencrank.Request) ([]byte, error) {
	hash := sha256.New()
	for _, part := range []string{request.Caller, request.Method, request.Host, request.URI} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	if request.Body != nil && request.ContentLength != 0 {
		body := replayer.BodyOf(request.Body)
		start, err := body.Peek()
		if err != nil {
			return nil, err
		}
		hash.Write(start)
		request.Body, _ = body.Attempt()
	}
	return hash.Sum(nil), nil
}

// waitForClaim claims a key. While the first request with the key runs, it
// waits for that request's result until the deadline.
func (c *Coordinator) waitForClaim(ctx context.Context, claim *deduplicator.Claim) *peerpb.ClaimResponse {
	poll := firstPoll
	for {
		response := c.config.Claimer.Claim(ctx, claim)
		if response.Verdict != peerpb.ClaimResponse_VERDICT_RUNNING {
			return response
		}
		timer := time.NewTimer(poll/2 + rand.N(poll))
		select {
		case <-ctx.Done():
			timer.Stop()
			return response
		case <-timer.C:
		}
		poll = min(2*poll, longestPoll)
	}
}

// answerRepeat turns a refused claim into the answer to a repeated request.
func answerRepeat(response *peerpb.ClaimResponse) (*pollencrank.Answer, error) {
	switch response.Verdict {
	case peerpb.ClaimResponse_VERDICT_RECORDED:
		return recordedAnswer(response.Answer)
	case peerpb.ClaimResponse_VERDICT_RUNNING:
		return nil, pollencrank.OutcomeUnknown(pollencrank.ReasonAlreadyRunning, "%s", response.Detail)
	case peerpb.ClaimResponse_VERDICT_MISMATCH:
		return nil, pollencrank.NotRun(pollencrank.ReasonKeyReused, "%s", response.Detail)
	case peerpb.ClaimResponse_VERDICT_FULL:
		return nil, pollencrank.NotRun(pollencrank.ReasonKeyTableFull, "%s", response.Detail)
	case peerpb.ClaimResponse_VERDICT_UNREACHABLE:
		// This request did not run, but an earlier one with the key may have.
		return nil, pollencrank.OutcomeUnknown(pollencrank.ReasonKeyHomeUnreachable, "%s", response.Detail)
	default:
		return nil, pollencrank.OutcomeUnknown(pollencrank.ReasonKeyUnverifiable, "%s", response.Detail)
	}
}

func recordedAnswer(recorded *peerpb.RecordedAnswer) (*pollencrank.Answer, error) {
	if recorded == nil || recorded.Truncated {
		return nil, pollencrank.OutcomeUnknown(pollencrank.ReasonAlreadyRun, "the request has run; its answer is not kept")
	}
	header := http.Header{}
	for _, h := range recorded.Headers {
		header[h.Name] = h.Values
	}
	header.Set(HeaderRepeated, "true")
	return &pollencrank.Answer{
		Status:        int(recorded.Status),
		Header:        header,
		ContentLength: int64(len(recorded.Body)),
		Body:          io.NopCloser(bytes.NewReader(recorded.Body)),
	}, nil
}

// record returns the answer's body; when it has been read or given up, the
// claim is settled.
func (c *Coordinator) record(claim deduplicator.Claim, answer *pollencrank.Answer) io.ReadCloser {
	recorded := &peerpb.RecordedAnswer{Status: uint32(answer.Status)}
	for name, values := range answer.Header {
		recorded.Headers = append(recorded.Headers, &peerpb.Header{Name: name, Values: values})
	}
	return &recordingBody{ReadCloser: answer.Body, recorded: recorded, settle: func() {
		c.config.Claimer.Settle(claim, peerpb.SettleRequest_RESULT_ANSWERED, recorded)
	}}
}

// recordingBody keeps a copy of an answer's body.
type recordingBody struct {
	io.ReadCloser
	recorded *peerpb.RecordedAnswer
	once     sync.Once
	settle   func()
}

// Read implements io.Reader.
func (b *recordingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if len(b.recorded.Body)+n > deduplicator.MaxAnswerBytes {
		b.recorded.Truncated = true
	}
	if !b.recorded.Truncated {
		b.recorded.Body = append(b.recorded.Body, p[:n]...)
	}
	if errors.Is(err, io.EOF) {
		b.finish(false)
	}
	return n, err
}

// Close implements io.Closer.
func (b *recordingBody) Close() error {
	err := b.ReadCloser.Close()
	b.finish(true)
	return err
}

func (b *recordingBody) finish(early bool) {
	b.once.Do(func() {
		if early || b.recorded.Truncated {
			b.recorded.Truncated = true
			b.recorded.Body = nil
		}
		b.settle()
	})
}

// closingBody calls after once when the body is closed.
type closingBody struct {
	io.ReadCloser
	once  sync.Once
	after func()
}

// Close implements io.Closer.
func (b *closingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.after)
	return err
}
