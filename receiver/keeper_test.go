package receiver

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTheLatestRefusalsAreKept(t *testing.T) {
	var k refusalKeeper
	require.Empty(t, k.latest())
	const count = maxRecentRefusals + 10
	for i := range count {
		k.add(RefusalRecord{Path: strconv.Itoa(i)})
	}
	latest := k.latest()
	require.Len(t, latest, maxRecentRefusals)
	require.Equal(t, strconv.Itoa(count-1), latest[0].Path)
	require.Equal(t, strconv.Itoa(count-maxRecentRefusals), latest[maxRecentRefusals-1].Path)
}
