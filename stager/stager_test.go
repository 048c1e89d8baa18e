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

// Whatever the length and however the body arrives, it comes out as it went in,
// and all room is given back.
func TestABodyIsPassedOnUnchanged(t *testing.T) {
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

// A burst of uploads fills the room for large bodies. Further ones are refused
// unread, and small orders still pass.
func TestABurstOfUploadsLeavesRoomForOrders(t *testing.T) {
	s := stager.New(stager.Config{Total: 1 << 20})
	var held []*stager.Body
	for {
		body, err := s.Stage(bytes.NewReader(make([]byte, 200_000)), 200_000)
		if err != nil {
			var full *stager.FullError
			require.ErrorAs(t, err, &full)
			break
		}
		held = append(held, body)
	}
	require.Len(t, held, 5)
	unread := bytes.NewReader(make([]byte, 200_000))
	_, err := s.Stage(unread, 200_000)
	require.Error(t, err)
	require.Equal(t, 200_000, unread.Len(), "nothing of it was read")
	order, err := s.Stage(bytes.NewReader([]byte("pins")), 4)
	require.NoError(t, err)
	order.Release()
	held[0].Release()
	again, err := s.Stage(unread, 200_000)
	require.NoError(t, err)
	again.Release()
}

// When the room ends within a body of unknown length, the rest is passed on as it
// arrives.
func TestABodyOfUnknownLengthOutlivesTheRoom(t *testing.T) {
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

func TestABodyThatBreaksOffGivesItsRoomBack(t *testing.T) {
	s := stager.New(stager.Config{})
	broken := errors.New("reset")
	_, err := s.Stage(io.MultiReader(bytes.NewReader(make([]byte, 40_000)), iotest.ErrReader(broken)), unknownLength)
	require.ErrorIs(t, err, broken)
	require.Zero(t, s.Reserved())
}

// BenchmarkUploads holds as many uploads as fit and reports the heap for them.
func BenchmarkUploads(b *testing.B) {
	s := stager.New(stager.Config{})
	random := rand.New(rand.NewPCG(1, 1))
	upload := make([]byte, 360_000)
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		var held []*stager.Body
		for {
			length := int64(60_000 + random.IntN(300_000))
			body, err := s.Stage(bytes.NewReader(upload[:length]), length)
			if err != nil {
				break
			}
			held = append(held, body)
		}
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
		b.ReportMetric(float64(len(held)), "uploads")
		for _, body := range held {
			body.Release()
		}
	}
}
