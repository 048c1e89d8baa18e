package main

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pollencrank/pollencrank/tracer"
)

// settings are the flags and environment variables of an entry instance.
type settings struct {
	ID            string `help:"Name of this instance, unique in the fleet." env:"POLLENCRANK_ID" required:""`
	Region        string `help:"Region that this instance is in." env:"POLLENCRANK_REGION" required:""`
	FailureDomain string `help:"Failure domain that this instance is in." env:"POLLENCRANK_FAILURE_DOMAIN" required:""`

	CallerAddress   string `help:"IP number and port for callers." env:"POLLENCRANK_CALLER_ADDRESS" default:"127.0.0.1:8080"`
	PeerAddress     string `help:"IP number and port for other entries." env:"POLLENCRANK_PEER_ADDRESS" default:"127.0.0.1:8081"`
	OperatorAddress string `help:"IP number and port for operators." env:"POLLENCRANK_OPERATOR_ADDRESS" default:"127.0.0.1:8082"`
	OperatorToken   string `help:"Credential that operators must present; at least 16 characters." env:"POLLENCRANK_OPERATOR_TOKEN" required:""`

	StoreURL       string   `help:"Address of the platform's store." env:"POLLENCRANK_STORE_URL" required:""`
	Seeds          []string `help:"Peer addresses to join through, besides those that the platform lists." env:"POLLENCRANK_SEEDS"`
	TrustedProxies []string `help:"Network prefixes of proxies whose X-Forwarded-For header is trusted." env:"POLLENCRANK_TRUSTED_PROXIES"`

	CallerCertificate string `help:"Certificate file for callers and operators; without it they use clear text." env:"POLLENCRANK_CALLER_CERTIFICATE"`
	CallerKey         string `help:"Key file for callers and operators." env:"POLLENCRANK_CALLER_KEY"`
	PeerCertificate   string `help:"Certificate file for other entries; without it they use clear text." env:"POLLENCRANK_PEER_CERTIFICATE"`
	PeerKey           string `help:"Key file for other entries." env:"POLLENCRANK_PEER_KEY"`
	PeerAuthority     string `help:"File with the authorities of the other entries' certificates." env:"POLLENCRANK_PEER_AUTHORITY"`

	Trace         string  `help:"Exporter of spans: ${enum}." enum:"none,stderr,otlp" default:"none" env:"POLLENCRANK_TRACE"`
	TraceEndpoint string  `help:"URL of the OTLP/HTTP collector." env:"POLLENCRANK_TRACE_ENDPOINT"`
	TraceShare    float64 `help:"Share of requests that are traced." default:"0.01" env:"POLLENCRANK_TRACE_SHARE"`

	LogLevel    string        `help:"Lowest level that is logged: ${enum}." enum:"debug,info,warn,error" default:"info" env:"POLLENCRANK_LOG_LEVEL"`
	StopTimeout time.Duration `help:"How long a planned stop may take." default:"60s" env:"POLLENCRANK_STOP_TIMEOUT"`
}

// faultList collects the faults of the settings.
type faultList []error

func (l *faultList) add(flag, format string, args ...any) {
	*l = append(*l, fmt.Errorf("--%s: %s", flag, fmt.Sprintf(format, args...)))
}

// minTokenLength is the minimum length of the operators' credential.
const minTokenLength = 16

// check returns every fault of the settings as one error.
func (s *settings) check() error {
	var faults faultList
	for flag, address := range map[string]string{
		"caller-address": s.CallerAddress, "peer-address": s.PeerAddress, "operator-address": s.OperatorAddress,
	} {
		checkAddress(&faults, flag, address)
	}
	for _, seed := range s.Seeds {
		checkAddress(&faults, "seeds", seed)
	}
	if len(s.OperatorToken) < minTokenLength {
		faults.add("operator-token", "%d characters are fewer than %d", len(s.OperatorToken), minTokenLength)
	}
	checkURL(&faults, "store-url", s.StoreURL)
	if _, err := s.proxies(); err != nil {
		faults = append(faults, err)
	}
	checkFiles(&faults, "caller", s.CallerCertificate, s.CallerKey)
	checkFiles(&faults, "peer", s.PeerCertificate, s.PeerKey, s.PeerAuthority)
	if tracer.Exporter(s.Trace) == tracer.ExporterOTLP {
		checkURL(&faults, "trace-endpoint", s.TraceEndpoint)
	}
	if s.TraceShare < 0 || s.TraceShare > 1 {
		faults.add("trace-share", "%v is not between 0 and 1", s.TraceShare)
	}
	if s.StopTimeout <= 0 {
		faults.add("stop-timeout", "%s is not positive", s.StopTimeout)
	}
	return errors.Join(faults...)
}

func checkAddress(faults *faultList, flag, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		faults.add(flag, "%q is not an IP number and port", address)
	}
}

func checkURL(faults *faultList, flag, text string) {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || !strings.HasPrefix(parsed.Scheme, "http") {
		faults.add(flag, "%q is not an http or https URL", text)
	}
}

// checkFiles checks that all files of a group are given, or none, and that the
// given ones exist.
func checkFiles(faults *faultList, group string, names ...string) {
	given := 0
	for _, name := range names {
		if name == "" {
			continue
		}
		given++
		if _, err := os.Stat(name); err != nil {
			faults.add(group+"-certificate", "%v", err)
		}
	}
	if given != 0 && given != len(names) {
		faults.add(group+"-certificate", "%d of %d files are given", given, len(names))
	}
}

func (s *settings) proxies() ([]netip.Prefix, error) {
	var prefixes []netip.Prefix
	for _, text := range s.TrustedProxies {
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			return nil, fmt.Errorf("--trusted-proxies: %q is not a network prefix", text)
		}
		prefixes = append(prefixes, prefix)
	}
	return prefixes, nil
}

func (s *settings) logger() *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(s.LogLevel))
	return slog.New(slog.NewJSONHandler(os.Stdout, &slog.HandlerOptions{Level: level})).With(slog.String("instance", s.ID))
}

// listeners opens the ports for callers, peers and operators.
func (s *settings) listeners() ([]net.Listener, error) {
	var opened []net.Listener
	for _, address := range []string{s.CallerAddress, s.PeerAddress, s.OperatorAddress} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, l := range opened {
				_ = l.Close()
			}
			return nil, fmt.Errorf("listen: %w", err)
		}
		opened = append(opened, listener)
	}
	return opened, nil
}
