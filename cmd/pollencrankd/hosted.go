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
	"sync"
	"syscall"
	"time"

	"github.com/pollencrank/pollencrank/hoster"
	"github.com/pollencrank/pollencrank/limiter"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/platform"
	"github.com/pollencrank/pollencrank/rationer"
	"github.com/pollencrank/pollencrank/recorder"
)

const (
	// gcPercent makes the garbage collector keep the heap small: an instance has
	// hundreds of megabytes of memory, but live data of only some megabytes.
	gcPercent = 50
	// memoryLimitShare is the runtime's soft memory limit as a share of the
	// process's memory. Near this limit the garbage collector runs more often.
	memoryLimitShare = 0.7
)

// hostedCommand runs an instance with the settings file of a platform.
type hostedCommand struct {
	LogLevel slog.Level `help:"Lowest level that is logged." default:"info" env:"POLLENCRANK_LOG_LEVEL"`
	LogEvery int        `help:"Number of answered requests for each one that is logged; refusals and failures are always logged." default:"100" env:"POLLENCRANK_LOG_EVERY"`
}

// Run runs the instance until SIGINT or SIGTERM.
func (c *hostedCommand) Run() error {
	if c.LogEvery < 1 {
		return fmt.Errorf("--log-every: %d is less than 1", c.LogEvery)
	}
	debug.SetGCPercent(gcPercent)
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
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.MemoryBytes)))
	}
	h, err := c.newHoster(settings, log)
	if err != nil {
		return err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	var watch sync.WaitGroup
	watch.Go(func() { watchSettings(ctx, hangups, settings, h.SetBounds, log) })
	err = h.Run(ctx)
	cancel()
	watch.Wait()
	return err
}

func (c *hostedCommand) newHoster(settings platform.Settings, log *slog.Logger) (*hoster.Hoster, error) {
	listeners, err := listenHosted(settings)
	if err != nil {
		return nil, err
	}
	store := platform.NewStore(platform.StoreConfig{Address: settings.StoreAddress, Log: log})
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
		MemoryBytes:    settings.MemoryBytes,
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
		Quotas: rationer.Bounds{
			Window: settings.Bounds.QuotaWindow,
			Excess: settings.Bounds.QuotaExcess,
			Slack:  settings.Bounds.QuotaSlack,
		},
		StopGrace:      settings.Bounds.StopGrace,
		LookupLifetime: settings.Bounds.LookupLifetime,
	}
}

// listenHosted opens the listeners on the addresses in the platform's settings.
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

// settingsPollInterval is the time between two reads of the settings file, which
// may change without a SIGHUP.
const settingsPollInterval = 3 * time.Second

// watchSettings applies the bounds of changed settings, on SIGHUP or when a poll
// finds that the file has changed. Changed addresses and names take effect only
// at the next start.
func watchSettings(ctx context.Context, hangups <-chan os.Signal, current platform.Settings, apply func(hoster.Bounds), log *slog.Logger) {
	ticker := time.NewTicker(settingsPollInterval)
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
				log.Error("cannot load changed settings; keeping the previous ones", recorder.EventSettingsInvalid.Attr(), slog.Any("error", err))
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
		log.Info("settings reloaded", recorder.EventSettingsReloaded.Attr(), slog.Bool("signal", isSignal),
			slog.Bool("boundsChanged", next.Bounds != current.Bounds),
			slog.Bool("restartNeeded", needsRestart(current, next)))
		current = next
	}
}

// needsRestart reports whether the settings differ in values that a running
// instance cannot change.
func needsRestart(current, next platform.Settings) bool {
	next.Bounds, next.Seeds, next.IsFirstStart = current.Bounds, current.Seeds, current.IsFirstStart
	return !reflect.DeepEqual(next, current)
}
