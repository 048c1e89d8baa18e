// Command pollencrankd runs an entry instance. The instance answers look-ups,
// forwards requests to backend servers, and exchanges membership, configuration
// and load with the other instances of the fleet.
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

// maxConnections bounds the open connections of callers.
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

// commands holds the commands that run an entry.
type commands struct {
	Serve  settings      `cmd:"" default:"withargs" help:"Run an entry with flags and environment variables (the default)."`
	Hosted hostedCommand `cmd:"" help:"Run an entry with the settings file of a platform."`
}

// Run checks the settings and runs an entry until SIGINT or SIGTERM.
func (s *settings) Run() error {
	if err := s.check(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(ctx, s)
}

// run runs an entry until ctx is cancelled, then performs a planned stop. It returns
// early if the entry fails.
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
	if err := configureTLS(ctx, s, &config); err != nil {
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

// configure opens the listeners and returns the configuration of an entry.
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

// seedOf derives a seed from the instance's ID, so that instances make different
// random choices.
func seedOf(id string) uint64 { return pollencrank.RendezvousScore("seed", id) }

// configureTLS sets up TLS on the ports that have certificates, and runs the
// certifiers until ctx is cancelled.
func configureTLS(ctx context.Context, s *settings, config *runner.Config) error {
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
