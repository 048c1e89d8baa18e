package main

import (
	"context"
	"log/slog"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/hoster"
	"github.com/pollencrank/pollencrank/platform"
	"github.com/pollencrank/pollencrank/platform/imitator"
)

// Guards against changed settings that are ignored until a SIGHUP, and against an
// invalid settings file that replaces valid settings: the file changes without a
// signal, is invalid for a while, and is then corrected.
func TestChangedSettingsComeIntoForce(t *testing.T) {
	folder := t.TempDir()
	write := func(bounds ...string) string {
		variable, err := imitator.WriteSettings(folder, imitator.InstanceConfig{
			ID: "entry-1", IP: "127.0.0.1", FailureDomain: "north-a", RegionOf: map[string]string{"north-a": "north"},
			StoreAddress: "127.0.0.1:1", Bounds: bounds,
		})
		require.NoError(t, err)
		return variable
	}
	name, path, _ := strings.Cut(write("grace=6s"), "=")
	t.Setenv(name, path)
	settings, err := platform.LoadSettings()
	require.NoError(t, err)

	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var applied []hoster.Bounds
		hangups := make(chan os.Signal)
		go watchSettings(ctx, hangups, settings, func(b hoster.Bounds) { applied = append(applied, b) }, slog.New(slog.DiscardHandler))
		time.Sleep(3 * settingsPollInterval)
		synctest.Wait()
		require.Empty(t, applied, "the settings have not changed")

		write("grace=9s", "retry-budget=0.1")
		time.Sleep(2 * settingsPollInterval)
		synctest.Wait()
		require.Len(t, applied, 1)
		require.Equal(t, 9*time.Second, applied[0].StopGrace)
		require.InDelta(t, 0.1, applied[0].Retries.Share, 0)

		require.NoError(t, os.WriteFile(path, []byte("{"), 0o644))
		time.Sleep(2 * settingsPollInterval)
		synctest.Wait()
		require.Len(t, applied, 1, "invalid settings are not applied")

		hangups <- syscall.SIGHUP
		synctest.Wait()
		require.Len(t, applied, 1, "invalid settings are not applied after a SIGHUP either")

		write("grace=7s")
		time.Sleep(2 * settingsPollInterval)
		synctest.Wait()
		require.Len(t, applied, 2)
		require.Equal(t, 7*time.Second, applied[1].StopGrace)
		cancel()
		synctest.Wait()
	})
}
