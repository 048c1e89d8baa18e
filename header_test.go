package pollencrank_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
)

func TestEndToEnd(t *testing.T) {
	header := http.Header{
		"Connection": {"close, Private", "other"}, "Private": {"1"}, "Other": {"2"},
		"Keep-Alive": {"timeout=3"}, "Transfer-Encoding": {"chunked"}, "Kept": {"a", "b"},
	}
	require.Equal(t, http.Header{"Kept": {"a", "b"}}, pollencrank.EndToEnd(header))
	require.Len(t, header, 6, "the original is not modified")
	require.Empty(t, pollencrank.EndToEnd(nil))
}
