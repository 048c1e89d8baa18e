package receiver_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
)

// Guards against a status that net/http takes for interim and follows by a 200 of its own.
func TestAStatusThatIsNoneIsNotAnswered(t *testing.T) {
	for _, status := range []int{0, 99, 101, 600} {
		address := start(t, func(context.Context, *pollencrank.Request) (*pollencrank.Answer, error) {
			answer, err := respond("done")
			answer.Status = status
			return answer, err
		}, nil)
		response, err := http.Get("http://" + address + "/catalogue/1")
		if err == nil {
			response.Body.Close()
		}
		require.Error(t, err, "status %d", status)
		require.NotContains(t, err.Error(), "refused", "the server listens")
	}
}
