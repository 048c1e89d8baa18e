package dispatcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a line for each answer of a server in trouble.
func TestLinesOnInvalidAnswersAreLimited(t *testing.T) {
	var limit lineLimit
	start, lines, total := time.Unix(0, 0), 0, 0
	for n := range 1001 {
		unlogged, mayLog := limit.admit(start.Add(time.Duration(n) * 10 * time.Millisecond))
		if mayLog {
			lines++
			total += 1 + unlogged
		}
	}
	require.Equal(t, 11, lines)
	require.Equal(t, 1001, total)
}
