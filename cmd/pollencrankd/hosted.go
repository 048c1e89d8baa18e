package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pollencrank/pollencrank/hoster"
	"github.com/pollencrank/pollencrank/limiter"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/platform"
	"github.com/pollencrank/pollencrank/recorder"
)

const (
	// collectPercent makes the garbage collector keep the heap small: an instance
	// has memory by the hundred megabytes and live data by the megabyte.
	collectPercent = 50
	// memoryShare is the share of the process's memory from which the garbage
	// collector works harder.
	memoryShare = 0.7
)

// hostedCommand runs an instance that a platform hosts.
type hostedCommand struct {
	LogLevel slog.Level `help:"Least level that is logged." default:"info" env:"POLLENCRANK_LOG_LEVEL"`
	LogEvery int        `help:"Number of answered requests for each one that is logged; refusals and failures always are." default:"100" env:"POLLENCRANK_LOG_EVERY"`
}

// Run runs the instance until it is told to stop.
func (c *hostedCommand) Run() error {
	if c.LogEvery < 1 {
		return fmt.Errorf("--log-every: %d is less than 1", c.LogEvery)
	}
	debug.SetGCPercent(collectPercent)
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	settings, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	lines := recorder.NewWriter(os.Stdout)
	defer lines.Close()
	log := slog.New(slog.NewJSONHandler(lines, &slog.HandlerOptions{Level: c.LogLevel}))
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	}
	h, err := c.newHoster(settings, log)
	if err != nil {
		return err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go follow(ctx, hangups, settings, h.SetBounds, log)
	return h.Run(ctx)
}

func (c *hostedCommand) newHoster(settings platform.Settings, log *slog.Logger) (*hoster.Hoster, error) {
	listeners, err := listenHosted(settings)
	if err != nil {
		return nil, err
	}
	store := platform.NewStore(platform.StoreConfig{Address: settings.StoreAddress})
	return hoster.New(hoster.Config{
		Self: namer.Instance{
			ID:            settings.Instance,
			Incarnation:   uint64(time.Now().UnixNano()),
			FailureDomain: settings.FailureDomain,
			Region:        settings.Region,
			CallerAddress: settings.CallerAddress,
			PeerAddress:   settings.PeerAddress,
			Capacity:      settings.Cores,
		},
		RegionOf:  settings.RegionOf,
		Listeners: listeners,
		Dialect:   platform.Dialect{},
		Lookups: hoster.Lookups{
			LookupPath: platform.LookupPath,
			ReadyPath:  platform.ReadyPath,
			Read:       platform.ReadLookup,
			Write:      platform.WriteLookup,
		},
		Registry:       platform.NewRegistry(store),
		Servers:        platform.Servers(store, settings.RegionOf, log, time.Now),
		Configurations: platform.Configurations(store, log),
		Evacuations:    platform.Evacuations(store, log),
		Instances:      platform.Instances(store, log),
		Seeds:          settings.Seeds,
		IsFirstStart:   settings.IsFirstStart,
		Bounds:         boundsOf(settings),
		SampleEvery:    c.LogEvery,
		Log:            log,
	}), nil
}

func boundsOf(settings platform.Settings) hoster.Bounds {
	return hoster.Bounds{
		Retries: limiter.WindowConfig{
			Share:  settings.Bounds.RetryShare,
			Extra:  settings.Bounds.RetryExtra,
			Window: settings.Bounds.RetryWindow,
		},
		StopGrace:      settings.Bounds.StopGrace,
		LookupLifetime: settings.Bounds.LookupLifetime,
	}
}

// listenHosted opens the sockets that the platform's settings name.
func listenHosted(settings platform.Settings) (hoster.Listeners, error) {
	var listeners hoster.Listeners
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{
		{&listeners.Callers, settings.CallerAddress},
		{&listeners.Ready, settings.ReadyAddress},
		{&listeners.Lookups, settings.LookupAddress},
		{&listeners.Peers, settings.PeerAddress},
		{&listeners.Metrics, settings.MetricsAddress},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return hoster.Listeners{}, err
		}
		*l.listener = listener
	}
	return listeners, nil
}

// settingsPoll is how often the settings file is read: it may change without a
// signal.
const settingsPoll = 3 * time.Second

// follow puts the figures of changed settings in force, at a signal or when the
// file is seen to have changed. Addresses and names hold until the next start.
func follow(ctx context.Context, hangups <-chan os.Signal, current platform.Settings, apply func(hoster.Bounds), log *slog.Logger) {
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	lastFault := ""
	for {
		isSignal := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-hangups:
			isSignal = true
		}
		next, err := platform.LoadSettings()
		if err != nil {
			if isSignal || err.Error() != lastFault {
				log.Error("changed settings are faulty", recorder.EventSettingsInvalid.Attr(), slog.Any("error", err))
			}
			lastFault = err.Error()
			continue
		}
		lastFault = ""
		hasChanged := !reflect.DeepEqual(next, current)
		if !hasChanged && !isSignal {
			continue
		}
		apply(boundsOf(next))
		log.Info("settings were read again", recorder.EventSettingsReloaded.Attr(), slog.Bool("signal", isSignal),
			slog.Bool("boundsChanged", next.Bounds != current.Bounds),
			slog.Bool("restartNeeded", needsRestart(current, next)))
		current = next
	}
}

// needsRestart reports whether settings differ in more than what can change while
// the instance runs.
func needsRestart(current, next platform.Settings) bool {
	next.Bounds, next.Seeds, next.IsFirstStart = current.Bounds, current.Seeds, current.IsFirstStart
	return !reflect.DeepEqual(next, current)
}
