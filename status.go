package pollencrank

import (
	"log/slog"
	"net/http"
)

// maxStatus is the largest status of HTTP.
const maxStatus = 599

// IsFinalStatus reports whether a status is one with which HTTP ends a request. Anything else
// is no answer, whoever sends it: what is known as interim, and what is not known at all.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// AbortUnlessFinal aborts the handler that is about to write an answer without a final
// status: a writer would leave that out and send another one. It logs the event first.
func AbortUnlessFinal(log *slog.Logger, event slog.Attr, request *Request, answer *Answer) {
	if IsFinalStatus(answer.Status) {
		return
	}
	log.Error("an answer has no final status", event, slog.String("request", request.ID),
		slog.String("server", answer.Server), slog.Int("status", answer.Status))
	panic(http.ErrAbortHandler)
}
