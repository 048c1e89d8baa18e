package hoster_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/platform/wire"
	"github.com/pollencrank/pollencrank/recorder"
)

// Guards against an incident that cannot be explained: what a server says of its limit has
// to be in the log.
func TestTheLogShowsTheLimitThatAServerNames(t *testing.T) {
	s := newStore()
	s.configure(1, "/x/")
	s.startServer(t, "i-1", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/x/limited" {
			w.Header().Set(wire.HeaderLimit, "1000.5")
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

// askForLoan asks an entry for a token for a server that is said to name a limit.
func askForLoan(t *testing.T, e *entry, body string) (int, loanAnswer) {
	t.Helper()
	response, err := http.Post("http://"+e.PeerAddress+"/loans", "application/json", strings.NewReader(body))
	require.NoError(t, err)
	defer response.Body.Close()
	var answer loanAnswer
	if response.StatusCode == http.StatusOK {
		require.NoError(t, json.NewDecoder(response.Body).Decode(&answer))
	}
	return response.StatusCode, answer
}

type loanAnswer struct {
	IsGranted  bool   `json:"isGranted"`
	RetryAfter string `json:"retryAfter"`
	Limit      struct {
		IsNamed bool `json:"isNamed"`
	} `json:"limit"`
}

// Guards against room that is left unused, because the callers of a server with a limit
// come to instances that hold no share of it.
func TestAnInstanceLendsOfItsShare(t *testing.T) {
	s := newStore()
	s.configure(1, "/x/")
	s.startServer(t, "i-1", echo)
	e := s.start(t, "entry-1", 1)
	eventually(t, "ready", func() bool { return e.isReady(t) })
	const request = `{"server":"i-1","incarnation":1,"limit":{"isNamed":true,"perSecond":5,"age":"0s"}}`
	eventually(t, "a loan", func() bool {
		_, answer := askForLoan(t, e, request)
		return answer.IsGranted
	})
	eventually(t, "no loan, with the time of the next", func() bool {
		_, answer := askForLoan(t, e, request)
		return !answer.IsGranted && answer.RetryAfter != "0s"
	})
	require.True(t, e.log.has(recorder.EventServerLimited), "the lender learns of the limit")

	eventually(t, "the lender hears that the limit has ended", func() bool {
		e.get(t, "/x/free")
		return e.log.has(recorder.EventServerUnlimited)
	})
	_, answer := askForLoan(t, e, strings.Replace(request, `"0s"`, `"1h0m0s"`, 1))
	require.True(t, answer.IsGranted)
	require.False(t, answer.Limit.IsNamed, "the borrower learns of the end")
}

func TestALoanIsRefusedForWhatIsNotKnown(t *testing.T) {
	s := newStore()
	s.configure(1, "/x/")
	s.startServer(t, "i-1", echo)
	e := s.start(t, "entry-1", 1)
	eventually(t, "ready", func() bool { return e.isReady(t) })
	for body, want := range map[string]int{
		`{"server":"i-1","incarnation":1,"limit":{"isNamed":true,"perSecond":-5,"age":"0s"}}`: http.StatusBadRequest,
		`{"server":"i-1","incarnation":1,"limit":{"isNamed":true,"perSecond":5,"age":"x"}}`:   http.StatusBadRequest,
		`{"server":"i-1","incarnation":2,"limit":{"isNamed":true,"perSecond":5,"age":"0s"}}`:  http.StatusNotFound,
		`{"server":"i-2","incarnation":1,"limit":{"isNamed":true,"perSecond":5,"age":"0s"}}`:  http.StatusNotFound,
		`no JSON`: http.StatusBadRequest,
	} {
		status, _ := askForLoan(t, e, body)
		require.Equal(t, want, status, body)
	}
}
