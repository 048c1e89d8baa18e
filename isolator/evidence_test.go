package isolator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/isolator"
)

const domain = "north-a"

func crashOn(i *isolator.Isolator, n int, server string, beganAt, at time.Time) isolator.Record {
	return i.RecordCrash(isolator.Crash{
		Fingerprint: fingerprint(n), Server: server, FailureDomain: domain, BeganAt: beganAt, At: at,
	})
}

// Two servers that end at the same moment are one event for every request that ran on
// both.
func TestServersThatEndAtTheSameMomentBlockNothing(t *testing.T) {
	i := isolator.New(isolator.Config{})
	end := start.Add(time.Second)
	crashOn(i, 1, "a", start, end)
	crashOn(i, 1, "b", start, end.Add(time.Millisecond))
	require.Equal(t, isolator.Suspect, statusOf(i, 1, end))
}

// A retry that lands on the next server of a failure domain that loses its power, beside
// servers that end without having run the request, is no evidence either.
func TestAFailureDomainThatEndsServerByServerBlocksNothing(t *testing.T) {
	i := isolator.New(isolator.Config{})
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	crashOn(i, 1, "a", at(0), at(100))
	crashOn(i, 2, "c", at(0), at(120))
	crashOn(i, 1, "b", at(110), at(200))
	require.Equal(t, isolator.Suspect, statusOf(i, 1, at(200)))
	crashOn(i, 1, "d", at(1300), at(1400))
	require.Equal(t, isolator.Blocked, statusOf(i, 1, at(1400)), "a later crash of its own is evidence")
}

// An attempt that began before another entry's record arrived is no evidence of its own.
func TestACopyThatRanDuringTheFirstCrashDoesNotBlock(t *testing.T) {
	i := isolator.New(isolator.Config{})
	shared := isolator.Record{Fingerprint: fingerprint(1), Crashes: 1, Until: start.Add(time.Minute)}
	i.Merge([]isolator.Record{shared}, start.Add(10*time.Millisecond))
	crashOn(i, 1, "a", start, start.Add(20*time.Millisecond))
	require.Equal(t, isolator.Suspect, statusOf(i, 1, start.Add(20*time.Millisecond)))
	crashOn(i, 1, "b", start.Add(30*time.Millisecond), start.Add(40*time.Millisecond))
	require.Equal(t, isolator.Blocked, statusOf(i, 1, start.Add(40*time.Millisecond)))
}

// fleetOfEntries is a model of entries that share their records after a delay.
type fleetOfEntries struct {
	entries []*isolator.Isolator
	// arriving are the records under way, by the time of their arrival.
	arriving map[time.Time][]isolator.Record
	lost     map[string]bool
}

// A request that crashes every server and that is sent to several entries at once, each
// copy again 100 ms after it failed, is stopped after a handful of servers: one for each
// copy that ran before the first record had arrived, at most twice.
func TestCopiesOfACrashingRequestAtSeveralEntriesLoseAHandfulOfServers(t *testing.T) {
	const (
		entries    = 3
		runTime    = 20 * time.Millisecond
		retryPause = 100 * time.Millisecond
		shareDelay = 150 * time.Millisecond
		step       = 10 * time.Millisecond
	)
	f := fleetOfEntries{arriving: map[time.Time][]isolator.Record{}, lost: map[string]bool{}}
	nextAt := map[int]time.Time{}
	for e := range entries {
		f.entries = append(f.entries, isolator.New(isolator.Config{}))
		nextAt[e] = start
	}
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(step) {
		for e, i := range f.entries {
			i.Merge(f.arriving[now], now)
			if now.Before(nextAt[e]) {
				continue
			}
			nextAt[e] = now.Add(runTime + retryPause)
			if status, _ := i.Check(fingerprint(1), now); status == isolator.Blocked {
				continue
			}
			server := fmt.Sprint("server-", len(f.lost))
			f.lost[server] = true
			record := crashOn(i, 1, server, now, now.Add(runTime))
			arrival := now.Add(shareDelay)
			f.arriving[arrival] = append(f.arriving[arrival], record)
		}
	}
	t.Logf("%d servers lost to %d copies", len(f.lost), entries)
	require.LessOrEqual(t, len(f.lost), 2*entries)
}

// When a failure domain loses its power within a second, requests that are sent again at
// once are blocked only in the rare case that the evidence against the domain arrives
// after the second crash.
func TestAFailureDomainThatLosesItsPowerBlocksAlmostNothing(t *testing.T) {
	const (
		runs     = 200
		servers  = 12
		inDomain = 4
		requests = 24
		spread   = 500 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(1, 2))
	blocked, hit := 0, 0
	for range runs {
		i := isolator.New(isolator.Config{})
		ends := map[int]time.Time{}
		for s := range inDomain {
			ends[s] = start.Add(time.Duration(random.Int64N(int64(spread))))
		}
		type attempt struct {
			request, server int
			began           time.Time
		}
		var running []attempt
		for r := range requests {
			running = append(running, attempt{request: r, server: random.IntN(servers), began: start})
		}
		crashed := map[int]bool{}
		for now := start; now.Before(start.Add(spread)); now = now.Add(time.Millisecond) {
			for n, a := range running {
				end, dies := ends[a.server]
				if !dies || now.Before(end) || a.server < 0 {
					continue
				}
				crashed[a.request] = true
				crashOn(i, a.request, fmt.Sprint("server-", a.server), a.began, now)
				next := random.IntN(servers)
				for e, ok := ends[next]; ok && !now.Before(e); e, ok = ends[next] {
					next = random.IntN(servers)
				}
				running[n] = attempt{request: a.request, server: next, began: now}
			}
		}
		hit += len(crashed)
		for r := range requests {
			if statusOf(i, r, start.Add(spread)) == isolator.Blocked {
				blocked++
			}
		}
	}
	t.Logf("%d of %d requests that ran on a server as it ended are blocked", blocked, hit)
	require.Less(t, blocked, hit/100)
}
