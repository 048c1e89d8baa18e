package dispatcher

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pollencrank/pollencrank"
)

// foreignAnswer returns the error of a request that has got the answer to another one. Its
// own answer may still be on the way: the server may run it.
func foreignAnswer(target Target, response *http.Response) error {
	metrics.GetOrCreateCounter(fmt.Sprintf(`pollencrank_foreign_answers_total{status="%d"}`, response.StatusCode)).Inc()
	return pollencrank.OutcomeUnknown(pollencrank.ReasonAnswerMismatch,
		"server %s sent an answer with status %d that does not belong to the request", target.Name, response.StatusCode)
}

func refusalError(target Target, reason pollencrank.Reason, response *http.Response, report Report) error {
	err := pollencrank.NotRun(reason, "server %s did not run the request: status %d", target.Name, response.StatusCode)
	if report.Pause.For > 0 {
		err.RetryAt = time.Now().Add(report.Pause.For)
	}
	return err
}

// discard reads the body of an answer so that the connection can be reused. If the
// body is longer than maxDrainBytes, of unknown length or slow, the connection is
// closed instead.
func discard(response *http.Response) {
	timer := time.AfterFunc(drainTimeout, func() { _ = response.Body.Close() })
	defer timer.Stop()
	if response.ContentLength >= 0 && response.ContentLength <= maxDrainBytes {
		_, _ = io.CopyN(io.Discard, response.Body, maxDrainBytes)
	}
	_ = response.Body.Close()
}

func newAnswer(target Target, response *http.Response, report Report, attempt *attempt) *pollencrank.Answer {
	answer := &pollencrank.Answer{
		Status:        response.StatusCode,
		Header:        response.Header,
		ContentLength: response.ContentLength,
		Server:        target.Name,
		RequestID:     report.RequestID,
		IsGenuine:     report.IsSigned && !report.HasContentEncoding,
		ConnectedAt:   attempt.connectedAt(),
	}
	answer.Body = &answerBody{ReadCloser: response.Body, response: response, answer: answer, attempt: attempt}
	return answer
}

// answerBody copies the trailer to the answer at the end of the body, and finishes the
// attempt. An answer with an invalid trailer has no end.
type answerBody struct {
	io.ReadCloser
	response *http.Response
	answer   *pollencrank.Answer
	attempt  *attempt
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if invalid := pollencrank.CheckFieldNames(b.response.Trailer); invalid != nil {
		return n, invalid
	}
	b.answer.Trailer = b.response.Trailer
	b.attempt.finish()
	return n, err
}
