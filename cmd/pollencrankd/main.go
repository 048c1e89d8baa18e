// Command pollencrankd is an entry instance. It answers look-ups, carries
// requests to backend servers, and keeps the fleet together.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"golang.org/x/net/netutil"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/certifier"
	"github.com/pollencrank/pollencrank/persister"
	"github.com/pollencrank/pollencrank/runner"
	"github.com/pollencrank/pollencrank/tracer"
)

// maxConnections bounds the connections of callers.
const maxConnections = 16_384

func main() {
	var c commands
	parsed := kong.Parse(&c,
		kong.Name("pollencrankd"),
		kong.Description("Run an entry instance of a pollencrank fleet. Every flag can be set by its environment variable."),
		kong.UsageOnError(),
	)
	parsed.FatalIfErrorf(parsed.Run())
}

// commands are the ways to run an entry.
type commands struct {
	Serve  settings      `cmd:"" default:"withargs" help:"Run an entry with flags and environment variables (the default)."`
	Hosted hostedCommand `cmd:"" help:"Run an entry with the settings file of a platform."`
}

// Run checks the settings and runs an entry until it is told to stop.
func (s *settings) Run() error {
	if err := s.check(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(ctx, s)
}

// run runs an entry until ctx ends, then performs a planned stop.
func run(ctx context.Context, s *settings) error {
	config, err := configure(s)
	if err != nil {
		return err
	}
	spans, err := tracer.New(ctx, tracer.Config{
		Exporter:    tracer.Exporter(s.Trace),
		Endpoint:    s.TraceEndpoint,
		SampleRatio: s.TraceShare,
		Instance:    s.ID,
	})
	if err != nil {
		return err
	}
	config.Tracer = spans.Tracer()
	if err := secure(ctx, s, &config); err != nil {
		return err
	}
	entry, err := runner.New(config)
	if err != nil {
		return err
	}
	entry.Start()
	select {
	case <-entry.Dead():
		return entry.Err()
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), s.StopTimeout)
	defer cancel()
	err = entry.Stop(stopCtx)
	_ = spans.Shutdown(stopCtx)
	return err
}

// configure turns settings into the configuration of an entry.
func configure(s *settings) (runner.Config, error) {
	store, err := persister.NewHTTP(persister.HTTPConfig{BaseURL: s.StoreURL})
	if err != nil {
		return runner.Config{}, err
	}
	proxies, err := s.proxies()
	if err != nil {
		return runner.Config{}, err
	}
	listeners, err := s.listeners()
	if err != nil {
		return runner.Config{}, err
	}
	return runner.Config{
		Instance: pollencrank.Instance{
			ID:            s.ID,
			FailureDomain: s.FailureDomain,
			Region:        s.Region,
		},
		CallerListener:   netutil.LimitListener(listeners[0], maxConnections),
		PeerListener:     listeners[1],
		OperatorListener: listeners[2],
		OperatorToken:    s.OperatorToken,
		Store:            store,
		Seeds:            s.Seeds,
		TrustedProxies:   proxies,
		Log:              s.logger(),
		Seed:             seedOf(s.ID),
	}, nil
}

// seedOf gives each instance its own random choices.
func seedOf(id string) uint64 { return pollencrank.RendezvousScore("seed", id) }

// secure adds TLS where certificates are given.
func secure(ctx context.Context, s *settings, config *runner.Config) error {
	if s.CallerCertificate != "" {
		c, err := certifier.New(certifier.Config{CertificateFile: s.CallerCertificate, KeyFile: s.CallerKey, Log: config.Log})
		if err != nil {
			return err
		}
		go func() { _ = c.Run(ctx) }()
		config.CallerTLS = c.Server()
	}
	if s.PeerCertificate == "" {
		return nil
	}
	c, err := certifier.New(certifier.Config{
		CertificateFile: s.PeerCertificate,
		KeyFile:         s.PeerKey,
		AuthorityFile:   s.PeerAuthority,
		Log:             config.Log,
	})
	if err != nil {
		return err
	}
	go func() { _ = c.Run(ctx) }()
	config.PeerServerTLS = c.Server()
	config.PeerClientTLS = c.Client()
	return nil
}
