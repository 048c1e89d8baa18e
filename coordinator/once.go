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
	// minPollInterval and maxPollInterval bound the mean interval at which a
	// repeat checks whether the first request with its key has ended.
	minPollInterval = 10 * time.Millisecond
	maxPollInterval = 200 * time.Millisecond
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
	answer.Body = c.recordBody(claim, answer)
	return answer, nil
}

// retention returns how long repeats of a workload's keys are recognised.
func (c *Coordinator) retention(workload string) time.Duration {
	if c.config.KeyRetention == nil {
		return defaultRetention
	}
	if retention := c.config.KeyRetention(workload); retention > 0 {
		return retention
	}
	return defaultRetention
}

// resultOf returns the result to record for a request that failed with err.
func resultOf(err error) peerpb.SettleRequest_Result {
	if pollencrank.IsNotRun(err) {
		return peerpb.SettleRequest_RESULT_NOT_RUN
	}
	return peerpb.SettleRequest_RESULT_UNKNOWN
}

// fingerprintOf returns a hash of the request and its caller, so that a key that
// is reused for a different request or by a different caller is detected. It
// reads up to replayer.MaxBytes of the body.
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

// waitForClaim claims a key. While the first request with the key runs, it polls
// for that request's result until ctx ends.
func (c *Coordinator) waitForClaim(ctx context.Context, claim *deduplicator.Claim) *peerpb.ClaimResponse {
	interval := minPollInterval
	for {
		response := c.config.Claimer.Claim(ctx, claim)
		if response.Verdict != peerpb.ClaimResponse_VERDICT_RUNNING {
			return response
		}
		timer := time.NewTimer(interval/2 + rand.N(interval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return response
		case <-timer.C:
		}
		interval = min(2*interval, maxPollInterval)
	}
}

// answerRepeat returns the answer or the error of a repeated request, whose claim
// was not granted.
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

// recordBody returns the answer's body, wrapped so that it is copied while it is
// read. When it has been read or closed, the claim is settled with the copy.
func (c *Coordinator) recordBody(claim deduplicator.Claim, answer *pollencrank.Answer) io.ReadCloser {
	recorded := &peerpb.RecordedAnswer{Status: uint32(answer.Status)}
	for name, values := range answer.Header {
		recorded.Headers = append(recorded.Headers, &peerpb.Header{Name: name, Values: values})
	}
	return &recordingBody{ReadCloser: answer.Body, recorded: recorded, settle: func() {
		c.config.Claimer.Settle(claim, peerpb.SettleRequest_RESULT_ANSWERED, recorded)
	}}
}

// recordingBody copies an answer's body while it is read.
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

// finish settles the claim once. It drops the copy if the body wasn't read to
// the end or is larger than deduplicator.MaxAnswerBytes.
func (b *recordingBody) finish(incomplete bool) {
	b.once.Do(func() {
		if incomplete || b.recorded.Truncated {
			b.recorded.Truncated = true
			b.recorded.Body = nil
		}
		b.settle()
	})
}

// closingBody calls onClose when the body is first closed.
type closingBody struct {
	io.ReadCloser
	once    sync.Once
	onClose func()
}

// Close implements io.Closer.
func (b *closingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.onClose)
	return err
}
