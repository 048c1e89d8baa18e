package main

import (
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/require"
)

func TestEveryFaultOfTheSettingsIsListedAtOnce(t *testing.T) {
	s := settings{
		CallerAddress: "localhost:80", PeerAddress: "1.2.3.4", OperatorAddress: "127.0.0.1:1", OperatorToken: "short",
		StoreURL: "nowhere", Seeds: []string{"x"}, TrustedProxies: []string{"10.0.0.0"}, CallerCertificate: "none.crt",
		Trace: "otlp", TraceShare: 2,
	}
	err := s.check()
	require.Error(t, err)
	for _, flag := range []string{"caller-address", "peer-address", "operator-token", "store-url", "seeds", "trusted-proxies",
		"caller-certificate", "trace-endpoint", "trace-share", "stop-timeout"} {
		require.Contains(t, err.Error(), "--"+flag)
	}
	require.NotContains(t, err.Error(), "--operator-address")
}

func TestSettingsComeFromFlagsAndEnvironment(t *testing.T) {
	t.Setenv("POLLENCRANK_ID", "entry-1")
	t.Setenv("POLLENCRANK_OPERATOR_TOKEN", "0123456789abcdef")
	t.Setenv("POLLENCRANK_STOP_TIMEOUT", "5s")
	var s settings
	parser, err := kong.New(&s)
	require.NoError(t, err)
	_, err = parser.Parse([]string{"--region", "north", "--failure-domain", "north-1", "--store-url", "http://127.0.0.1:1", "--stop-timeout=7s"})
	require.NoError(t, err)
	require.NoError(t, s.check())
	require.Equal(t, "entry-1", s.ID)
	require.Equal(t, 7*time.Second, s.StopTimeout, "a flag takes precedence over its environment variable")
	parser, err = kong.New(&settings{})
	require.NoError(t, err)
	_, err = parser.Parse(nil)
	require.Error(t, err)
	require.True(t, strings.Contains(err.Error(), "missing flags"))
}
