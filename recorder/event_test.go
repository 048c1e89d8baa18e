package recorder_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/recorder"
)

// Guards against a page of events that differs from the catalogue, as after a change to
// only one of them.
func TestEventsPageEqualsTheCatalogue(t *testing.T) {
	page, err := os.ReadFile("../docs/EVENTS.md")
	require.NoError(t, err)
	var rows []string
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| PC") {
			rows = append(rows, strings.TrimSpace(line))
		}
	}
	var want []string
	last := recorder.Event(0)
	for _, d := range recorder.Catalogue() {
		require.Greater(t, d.Event, last, "events are in order and unique")
		last = d.Event
		want = append(want, fmt.Sprintf("| %s | %s | %s |", d.Event, d.Level, d.Meaning))
	}
	require.Equal(t, want, rows)
}
