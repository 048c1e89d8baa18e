package stager_test

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"runtime"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/pollencrank/pollencrank/internal/seeded"
	"github.com/pollencrank/pollencrank/stager"
)

const unknownLength = -1

// A body of any length, read in any pieces, is forwarded unchanged, and all its
// reserved memory is released.
func TestABodyIsForwardedUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := stager.New(stager.Config{PerBody: 100_000, Total: 200_000})
		sent := make([]byte, rapid.IntRange(0, 250_000).Draw(t, "bytes"))
		for i := range sent {
			sent[i] = byte(i * 7)
		}
		length := int64(len(sent))
		if rapid.Bool().Draw(t, "chunked") {
			length = unknownLength
		}
		var reader io.Reader = bytes.NewReader(sent)
		if rapid.Bool().Draw(t, "early end") {
			reader = iotest.DataErrReader(reader)
		}
		body, err := s.Stage(iotest.HalfReader(reader), length)
		require.NoError(t, err)
		data, isWhole := body.Bytes()
		require.LessOrEqual(t, len(data), 100_000)
		if len(sent) < 100_000 {
			require.True(t, isWhole)
		}
		if len(sent) > 100_000 {
			require.False(t, isWhole)
		}
		got, err := io.ReadAll(body.Reader())
		require.NoError(t, err)
		require.True(t, bytes.Equal(sent, got))
		body.Release()
		require.Zero(t, s.Reserved())
	})
}

// A burst of uploads exhausts the memory for large bodies. Further large bodies must
// be refused unread, while short ones, such as orders, are still accepted.
func TestABurstOfUploadsLeavesMemoryForShortBodies(t *testing.T) {
	s := stager.New(stager.Config{Total: 1 << 20})
	var buffered []*stager.Body
	for {
		body, err := s.Stage(bytes.NewReader(make([]byte, 200_000)), 200_000)
		if err != nil {
			var full *stager.FullError
			require.ErrorAs(t, err, &full)
			break
		}
		buffered = append(buffered, body)
	}
	require.Len(t, buffered, 5)
	unread := bytes.NewReader(make([]byte, 200_000))
	_, err := s.Stage(unread, 200_000)
	require.Error(t, err)
	require.Equal(t, 200_000, unread.Len(), "none of the body is read")
	order, err := s.Stage(bytes.NewReader([]byte("pins")), 4)
	require.NoError(t, err)
	order.Release()
	buffered[0].Release()
	again, err := s.Stage(unread, 200_000)
	require.NoError(t, err)
	again.Release()
}

// When the memory is exhausted within a body of unknown length, the rest is streamed.
func TestABodyOfUnknownLengthIsStreamedWhenMemoryIsExhausted(t *testing.T) {
	s := stager.New(stager.Config{Total: 100_000})
	sent := bytes.Repeat([]byte("pins"), 50_000)
	body, err := s.Stage(bytes.NewReader(sent), unknownLength)
	require.NoError(t, err)
	_, isWhole := body.Bytes()
	require.False(t, isWhole)
	got, err := io.ReadAll(body.Reader())
	require.NoError(t, err)
	require.True(t, bytes.Equal(sent, got))
	body.Release()
	require.Zero(t, s.Reserved())
}

func TestABodyThatBreaksOffReleasesItsMemory(t *testing.T) {
	s := stager.New(stager.Config{})
	broken := errors.New("reset")
	_, err := s.Stage(io.MultiReader(bytes.NewReader(make([]byte, 40_000)), iotest.ErrReader(broken)), unknownLength)
	require.ErrorIs(t, err, broken)
	require.Zero(t, s.Reserved())
}

// BenchmarkUploads buffers as many uploads as fit and reports the heap that they use.
func BenchmarkUploads(b *testing.B) {
	s := stager.New(stager.Config{})
	random := rand.New(rand.NewPCG(1, 1))
	upload := make([]byte, 360_000)
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		var buffered []*stager.Body
		for {
			length := int64(60_000 + random.IntN(300_000))
			body, err := s.Stage(bytes.NewReader(upload[:length]), length)
			if err != nil {
				break
			}
			buffered = append(buffered, body)
		}
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
		b.ReportMetric(float64(len(buffered)), "uploads")
		for _, body := range buffered {
			body.Release()
		}
	}
}

// Guards against a caller that holds the memory of all: its own share is used up first, and is
// its own again once its bodies are released, also those for which no memory was left.
func TestAShareBoundsOneCaller(t *testing.T) {
	s := stager.New(stager.Config{Total: 500_000})
	share := stager.NewShare(250_000)
	stage := func(share *stager.Share) (*stager.Body, error) {
		return s.StageWithin(share, bytes.NewReader(make([]byte, 200_000)), 200_000)
	}
	first, err := stage(share)
	require.NoError(t, err)
	_, err = stage(share)
	var full *stager.FullError
	require.ErrorAs(t, err, &full)
	require.True(t, full.IsShare)
	other, err := stage(nil)
	require.NoError(t, err)
	first.Release()
	taken, err := stage(nil)
	require.NoError(t, err)
	_, err = stage(share)
	require.ErrorAs(t, err, &full)
	require.False(t, full.IsShare)
	other.Release()
	again, err := stage(share)
	require.NoError(t, err)
	again.Release()
	taken.Release()
	require.Zero(t, s.Reserved())
}
