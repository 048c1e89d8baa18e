package isolator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/isolator"
)

// Guards against the block of a sound request that is sent often: it is in flight at every
// crash of another one.
func TestARequestThatWasAnsweredLatelyIsNotBlocked(t *testing.T) {
	i := isolator.New(isolator.Config{})
	now := start
	for range 20 {
		now = now.Add(time.Second)
		crash(i, 1, now)
		require.Equal(t, isolator.Suspect, statusOf(i, 1, now))
		now = now.Add(time.Second)
		i.RecordAnswer(fingerprint(1), now.Add(-100*time.Millisecond), now)
		require.Equal(t, isolator.NotSuspected, statusOf(i, 1, now))
	}
	crash(i, 1, now)
	crash(i, 1, now.Add(time.Second))
	require.Equal(t, isolator.Suspect, statusOf(i, 1, now.Add(time.Second)))
	now = now.Add(isolator.AnswerMemory)
	crash(i, 1, now)
	require.Equal(t, isolator.Blocked, statusOf(i, 1, now), "the answer is too old")
}

// Guards against a block that outlasts the proof that it is wrong: a copy that ran while the
// others crashed is answered.
func TestTheAnswerToACopyThatRanMeanwhileWithdrawsABlock(t *testing.T) {
	i := isolator.New(isolator.Config{})
	crash(i, 1, start)
	crash(i, 1, start.Add(time.Second))
	require.Equal(t, isolator.Blocked, statusOf(i, 1, start.Add(time.Second)))
	require.False(t, i.RecordAnswer(fingerprint(1), start.Add(time.Second), start.Add(2*time.Second)), "it began after the block")
	require.Equal(t, isolator.Blocked, statusOf(i, 1, start.Add(2*time.Second)))
	require.True(t, i.RecordAnswer(fingerprint(1), start.Add(900*time.Millisecond), start.Add(2*time.Second)))
	require.Equal(t, isolator.NotSuspected, statusOf(i, 1, start.Add(2*time.Second)))
}

// Guards against a sound request that one entry blocks for all, although others have answers.
func TestEntriesTellEachOtherOfAnswers(t *testing.T) {
	blocking, answering := isolator.New(isolator.Config{}), isolator.New(isolator.Config{})
	answering.Merge([]isolator.Record{crash(blocking, 1, start)}, start)
	require.True(t, answering.RecordAnswer(fingerprint(1), start, start), "it was suspected")
	blocked := crash(blocking, 1, start.Add(time.Second))
	require.Equal(t, isolator.Blocked, blocked.Status(start.Add(time.Second)))
	answered := answering.Merge([]isolator.Record{blocked}, start.Add(time.Second))
	require.Equal(t, []isolator.Fingerprint{fingerprint(1)}, answered)
	require.Equal(t, isolator.NotSuspected, statusOf(answering, 1, start.Add(time.Second)))
	blocking.MergeAnswer(answered[0], start.Add(time.Second))
	require.Equal(t, isolator.NotSuspected, statusOf(blocking, 1, start.Add(time.Second)))
	crash(blocking, 1, start.Add(2*time.Second))
	crash(blocking, 1, start.Add(3*time.Second))
	require.Equal(t, isolator.Suspect, statusOf(blocking, 1, start.Add(3*time.Second)), "the answer counts here as well")
}

// Guards against an answer to one request that clears another one.
func TestAnAnswerConcernsItsOwnRequest(t *testing.T) {
	i := isolator.New(isolator.Config{})
	crash(i, 1, start)
	i.RecordAnswer(fingerprint(2), start, start)
	crash(i, 1, start.Add(time.Second))
	require.Equal(t, isolator.Blocked, statusOf(i, 1, start.Add(time.Second)))
}

// Guards against memory that grows with the number of different requests.
func TestAnswersAreForgotten(t *testing.T) {
	i := isolator.New(isolator.Config{})
	i.RecordAnswer(fingerprint(1), start, start)
	for n := range 20_000 {
		i.RecordAnswer(wideFingerprint(n), start, start)
	}
	crash(i, 1, start)
	crash(i, 1, start.Add(time.Second))
	require.Equal(t, isolator.Blocked, statusOf(i, 1, start.Add(time.Second)))
}

// wideFingerprint returns one of many fingerprints.
func wideFingerprint(n int) isolator.Fingerprint {
	return isolator.Fingerprint{0xff, byte(n), byte(n >> 8), byte(n >> 16)}
}
