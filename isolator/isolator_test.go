package isolator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollencrank/pollencrank"
	_ "github.com/pollencrank/pollencrank/internal/seeded"
	"github.com/pollencrank/pollencrank/isolator"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func fingerprint(n int) isolator.Fingerprint { return isolator.Fingerprint{byte(n), byte(n >> 8)} }

func statusOf(i *isolator.Isolator, n int, now time.Time) isolator.Status {
	v, _ := i.Check(fingerprint(n), now)
	return v
}

// crash records that a request crashed its server at once, in a failure domain in which
// no other request does.
func crash(i *isolator.Isolator, n int, now time.Time) isolator.Record {
	return i.RecordCrash(isolator.Crash{
		Fingerprint: fingerprint(n), Server: fmt.Sprint("server-", n), FailureDomain: fmt.Sprint("domain-", n), BeganAt: now, At: now,
	})
}

func TestTheSecondCrashBlocks(t *testing.T) {
	i := isolator.New(isolator.Config{})
	require.True(t, i.IsEmpty())
	require.Equal(t, isolator.NotSuspected, statusOf(i, 1, start))
	crash(i, 1, start)
	require.Equal(t, isolator.Suspect, statusOf(i, 1, start))
	require.Equal(t, isolator.NotSuspected, statusOf(i, 2, start))
	crash(i, 1, start)
	require.Equal(t, isolator.Blocked, statusOf(i, 1, start))
	require.Equal(t, isolator.Blocked, statusOf(i, 1, start.Add(isolator.DefaultBlockTTL-1)))
	require.Equal(t, isolator.NotSuspected, statusOf(i, 1, start.Add(isolator.DefaultBlockTTL)))
	require.True(t, i.IsEmpty(), "an expired record is removed")
}

func TestAnAnsweredSuspectIsNoLongerSuspected(t *testing.T) {
	i := isolator.New(isolator.Config{})
	crash(i, 1, start)
	i.RecordAnswer(fingerprint(1), start, start)
	require.Equal(t, isolator.NotSuspected, statusOf(i, 1, start))
	crash(i, 2, start)
	crash(i, 2, start)
	i.RecordAnswer(fingerprint(2), start, start)
	require.Equal(t, isolator.Blocked, statusOf(i, 2, start))
}

func TestAnExpiredSuspicionDoesNotBlock(t *testing.T) {
	i := isolator.New(isolator.Config{})
	crash(i, 1, start)
	crash(i, 1, start.Add(isolator.DefaultSuspectTTL))
	require.Equal(t, isolator.Suspect, statusOf(i, 1, start.Add(isolator.DefaultSuspectTTL)))
}

func TestTheFingerprintIsIndependentOfCallerAndEntry(t *testing.T) {
	request := &pollencrank.Request{Workload: "catalogue", Method: "GET", Host: "h", URI: "/a?b=c", Caller: "one", Key: "k"}
	other := *request
	other.Caller, other.Key = "two", "l"
	require.Equal(t, isolator.FingerprintOf(request, nil), isolator.FingerprintOf(&other, nil))
	here, there := *request, *request
	here.Host, there.Host = "127.0.0.1:8080", "127.0.0.2:8080"
	require.Equal(t, isolator.FingerprintOf(&here, nil), isolator.FingerprintOf(&there, nil), "sent to another entry")
	for _, change := range []func(*pollencrank.Request){
		func(r *pollencrank.Request) { r.Workload = "ordering" },
		func(r *pollencrank.Request) { r.Method = "POST" },
		func(r *pollencrank.Request) { r.URI = "/a?b=d" },
		func(r *pollencrank.Request) { r.Host = "other" },
	} {
		changed := *request
		change(&changed)
		require.NotEqual(t, isolator.FingerprintOf(request, nil), isolator.FingerprintOf(&changed, nil))
	}
	require.NotEqual(t, isolator.FingerprintOf(request, []byte("x")), isolator.FingerprintOf(request, []byte("y")))
}

// The number of records is bounded, no record outlives the lifetime of a blocked
// request, a record of another entry never lowers a status, and a further crash raises it,
// but for the block of a request that was answered lately.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxRecords, fingerprints = 4, 8
		i := isolator.New(isolator.Config{MaxRecords: maxRecords})
		now := start
		answeredAt := map[int]time.Time{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "wait")) * time.Second)
			n := rapid.IntRange(0, fingerprints).Draw(t, "fingerprint")
			before := statusOf(i, n, now)
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				require.Greater(t, crash(i, n, now).Crashes, 0)
				want := min(before+1, isolator.Blocked)
				if at, isKnown := answeredAt[n]; isKnown && now.Sub(at) < isolator.AnswerMemory && before == isolator.Suspect {
					want = isolator.Suspect
				}
				require.Equal(t, want, statusOf(i, n, now))
			case 1:
				i.Merge([]isolator.Record{{
					Fingerprint: fingerprint(n),
					Crashes:     rapid.IntRange(0, 5).Draw(t, "crashes"),
					Until:       now.Add(time.Duration(rapid.IntRange(-1000, 100_000).Draw(t, "until")) * time.Second),
				}}, now)
				require.GreaterOrEqual(t, statusOf(i, n, now), before)
			case 2:
				i.RecordAnswer(fingerprint(n), now, now)
				if before != isolator.Blocked {
					answeredAt[n] = now
				}
			}
			count := 0
			for n := range fingerprints + 1 {
				v, until := i.Check(fingerprint(n), now)
				if v != isolator.NotSuspected {
					count++
					require.False(t, until.After(now.Add(isolator.DefaultBlockTTL)))
				}
			}
			require.LessOrEqual(t, count, maxRecords)
		}
	})
}
