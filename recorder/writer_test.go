package recorder_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/recorder"
)

// gatedWriter blocks writes until open is closed.
type gatedWriter struct {
	open chan struct{}
	bytes.Buffer
}

func (w *gatedWriter) Write(p []byte) (int, error) {
	<-w.open
	return w.Buffer.Write(p)
}

func TestWriterKeepsTheOrder(t *testing.T) {
	var out bytes.Buffer
	w := recorder.NewWriter(&out)
	for i := range 100 {
		_, err := fmt.Fprintln(w, i)
		require.NoError(t, err)
	}
	w.Close()
	lines := strings.Fields(out.String())
	require.Len(t, lines, 100)
	require.Equal(t, "99", lines[99])
}

// Guards against requests that block on the log: the reader of the log may stop reading.
func TestWriterNeverBlocks(t *testing.T) {
	out := &gatedWriter{open: make(chan struct{})}
	w := recorder.NewWriter(out)
	const lines = 20_000
	for range lines {
		_, err := io.WriteString(w, "line\n")
		require.NoError(t, err)
	}
	close(out.open)
	w.Close()
	kept, dropped := 0, 0
	for line := range strings.Lines(out.String()) {
		if line == "line\n" {
			kept++
			continue
		}
		var report struct {
			Event string `json:"event"`
			Count int    `json:"count"`
		}
		require.NoError(t, json.Unmarshal([]byte(line), &report))
		require.Equal(t, recorder.EventLinesDropped.String(), report.Event)
		dropped += report.Count
	}
	require.Positive(t, dropped)
	require.Equal(t, lines, kept+dropped, "every line is written or counted")
}

// Guards against a panic at the end of a planned stop: a goroutine may log after the
// log was closed.
func TestALineAfterTheEndIsDroppedAndCounted(t *testing.T) {
	var out bytes.Buffer
	w := recorder.NewWriter(&out)
	var wait sync.WaitGroup
	const writers, linesEach = 8, 200
	for range writers {
		wait.Go(func() {
			for range linesEach {
				_, err := io.WriteString(w, "line\n")
				require.NoError(t, err)
			}
		})
	}
	w.Close()
	wait.Wait()
	_, err := io.WriteString(w, "late\n")
	require.NoError(t, err)
	w.Close()
	written := strings.Count(out.String(), "line\n")
	require.Equal(t, uint64(writers*linesEach+1), uint64(written)+w.Late(), "every line is written or counted")
	require.NotContains(t, out.String(), "late")
}

func BenchmarkWriter(b *testing.B) {
	for name, out := range map[string]io.Writer{"read": io.Discard, "not read": &gatedWriter{open: make(chan struct{})}} {
		b.Run(name, func(b *testing.B) {
			log := slog.New(slog.NewJSONHandler(recorder.NewWriter(out), nil))
			for b.Loop() {
				log.Info("the request was answered", slog.String("request", "9c41d07be2a35f68"), slog.Int("status", 200))
			}
		})
	}
}
