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

func TestCheckFieldNames(t *testing.T) {
	require.NoError(t, pollencrank.CheckFieldNames(nil))
	require.NoError(t, pollencrank.CheckFieldNames(http.Header{"X-Own": {"a b"}, "x!#$%&'*+-.^_`|~9": {""}}))
	for _, name := range []string{"", "X y", "X ", " X", "X\t", "X\x00", "X\x7f", "X\xe4", "X:", "X(y)"} {
		var malformed *pollencrank.FieldNameError
		require.ErrorAs(t, pollencrank.CheckFieldNames(http.Header{"Own": {"a"}, name: {"b"}}), &malformed)
		require.Equal(t, name, malformed.Name)
	}
}
