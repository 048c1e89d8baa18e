package dispatcher

import (
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/recorder"
)

// judge returns what is wrong with an answer that net/http accepts and HTTP does not know, or
// "" if it is one.
func judge(response *http.Response) string {
	switch {
	case response.ProtoMajor != 1:
		return "its version is " + response.Proto
	case !pollencrank.IsFinalStatus(response.StatusCode):
		return "it has no final status"
	case response.StatusCode == http.StatusNoContent && announcesBody(response):
		return "it announces a body that it cannot have"
	}
	if err := pollencrank.CheckFieldNames(response.Header); err != nil {
		return err.Error()
	}
	return ""
}

// announcesBody reports whether the header of an answer announces a body. net/http reads none
// of it if the status allows none, and passes the header on.
func announcesBody(response *http.Response) bool {
	length := strings.TrimSpace(response.Header.Get("Content-Length"))
	return strings.Trim(length, "0") != "" || len(response.TransferEncoding) > 0
}

// invalidAnswer returns the error of a request whose server sent an invalid answer, or nil
// if the answer is valid. The connection is not used again. The server may have run the request.
func (d *Dispatcher) invalidAnswer(target Target, response *http.Response, attempt *attempt) error {
	fault := judge(response)
	if fault == "" {
		return nil
	}
	attempt.abandonConnection()
	_ = response.Body.Close()
	metrics.GetOrCreateCounter(fmt.Sprintf(`pollencrank_invalid_answers_total{server=%q}`, target.Name)).Inc()
	if unlogged, mayLog := d.transport(target).invalid.admit(time.Now()); mayLog {
		d.config.Log.Warn("a server sent an invalid answer", recorder.EventAnswerInvalid.Attr(),
			slog.String("server", target.Name), slog.String("statusLine", fmt.Sprintf("%.40q", response.Status)),
			slog.String("fault", fault), slog.Int("unlogged", unlogged))
	}
	return pollencrank.OutcomeUnknown(pollencrank.ReasonAnswerInvalid, "the answer of server %s is invalid: %s: status %03d", target.Name, fault, response.StatusCode)
}

// minLineInterval is the time between two lines on invalid answers of one server.
const minLineInterval = time.Second

// lineLimit limits the lines on invalid answers of one server. It is safe for concurrent use.
type lineLimit struct {
	mu       sync.Mutex
	nextAt   time.Time
	unlogged int
}

// admit reports whether a line may be logged, and how many were not since the last one.
func (l *lineLimit) admit(now time.Time) (unlogged int, mayLog bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.nextAt) {
		l.unlogged++
		return 0, false
	}
	unlogged = l.unlogged
	l.unlogged = 0
	l.nextAt = now.Add(minLineInterval)
	return unlogged, true
}
