package hoster_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/hoster"
	"github.com/pollencrank/pollencrank/router"
)

// steadyTimeout is the timeout of the route: streamed answers end at it, however fast the
// machine is.
const steadyTimeout = 30 * time.Second

// steadyTrial is a load of callers that read slowly but steadily.
type steadyTrial struct {
	callers, pipelined, answerBytes int
	// pieceBytes are read at once, then the caller waits for interval.
	pieceBytes int
	interval   time.Duration
	// pause follows the first piece.
	pause time.Duration
}

// Guards against an answer that is ended because its caller waits for its turn behind other
// answers, or pauses once: it takes what it gets.
func TestSteadyCallersGetWholeAnswers(t *testing.T) {
	for name, trial := range map[string]steadyTrial{
		"pipelined": {callers: 32, pipelined: 16, answerBytes: 100_000, pieceBytes: 50_000, interval: 50 * time.Millisecond},
		"one pause": {callers: 50, pipelined: 1, answerBytes: 3_000_000, pieceBytes: 500_000, pause: 2 * time.Second},
	} {
		t.Run(name, trial.run)
	}
}

func (trial steadyTrial) run(t *testing.T) {
	s := newStore()
	s.configureRoute(1, "/x/", router.Idempotent, steadyTimeout)
	for i := range 2 {
		s.startServer(t, fmt.Sprint("i-", i), func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/x/long" {
				echo(w, r)
				return
			}
			w.Header().Set("Content-Length", fmt.Sprint(trial.answerBytes))
			_, _ = w.Write(make([]byte, trial.answerBytes))
		})
	}
	e := startEntry(t, "entry-1", 1, hoster.Config{
		Registry: s, Servers: s.servers, Configurations: s.configurations, Evacuations: s.evacuations, Instances: s.instances,
		MemoryBytes: 184 << 20, Listeners: hoster.Listeners{Callers: shortQueueListener{listen(t)}},
	})
	eventually(t, "the entry serves", func() bool {
		status, _, _ := e.get(t, "/x/first")
		return status == http.StatusOK
	})
	ends := make(chan end, trial.callers)
	for i := range trial.callers {
		conn := dialSlow(t, e.CallerAddress)
		for n := range trial.pipelined {
			_, err := fmt.Fprintf(conn, "GET /x/long HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: steady-%d-%d\r\n\r\n", i, n)
			require.NoError(t, err)
		}
		go func() { ends <- trial.read(bufio.NewReader(conn)) }()
	}
	for range trial.callers {
		assert.Equal(t, end{whole: trial.pipelined}, <-ends)
	}
}

// end is what became of the answers to a caller: how many arrived whole, and what followed.
type end struct {
	whole  int
	reason string
}

// read reads answers until one does not arrive whole.
func (trial steadyTrial) read(reader *bufio.Reader) end {
	for n := range trial.pipelined {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return end{n, err.Error()}
		}
		if response.StatusCode != http.StatusOK {
			reason, _ := io.ReadAll(response.Body)
			return end{n, fmt.Sprint(response.Status, " ", string(reason))}
		}
		for taken := 0; taken < trial.answerBytes; taken += trial.pieceBytes {
			if _, err := io.CopyN(io.Discard, response.Body, int64(trial.pieceBytes)); err != nil {
				return end{n, fmt.Sprint("broke off: ", err)}
			}
			if taken == 0 {
				<-time.After(trial.pause)
			}
			<-time.After(trial.interval)
		}
	}
	return end{whole: trial.pipelined}
}
