package hoster_test

import (
	"net/http"
	"testing"

	"github.com/pollencrank/pollencrank/recorder"
)

// Guards against an incident that cannot be explained: what a server says of its limit has
// to be in the log.
func TestTheLogShowsTheLimitThatAServerNames(t *testing.T) {
	s := newStore()
	s.configure(1, "/x/")
	s.startServer(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/x/limited" {
			w.Header().Set("Server-Limit", "1000.5")
		}
		echo(w, r)
	})
	e := s.start(t, "entry-1", 1)
	eventually(t, "the limit is logged", func() bool {
		e.get(t, "/x/limited")
		return e.log.has(recorder.EventServerLimited)
	})
	eventually(t, "its end is logged", func() bool {
		e.get(t, "/x/free")
		return e.log.has(recorder.EventServerUnlimited)
	})
}
