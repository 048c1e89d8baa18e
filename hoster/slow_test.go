package hoster_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/hoster"
	"github.com/pollencrank/pollencrank/router"
)

// smallSocketBytes keeps the kernel from holding what a peer does not read.
const smallSocketBytes = 4 << 10

// shortQueueListener accepts connections whose kernel queue is short.
type shortQueueListener struct{ net.Listener }

// Accept implements net.Listener.
func (l shortQueueListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		_ = conn.(*net.TCPConn).SetWriteBuffer(smallSocketBytes)
	}
	return conn, err
}

// dialSlow opens a connection whose other end cannot send more than it reads.
func dialSlow(t *testing.T, address string) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallSocketBytes)
		})
	}}
	conn, err := dialer.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

var heldLine = regexp.MustCompile(`pollencrank_held_bytes\{of="(\w+)"\} (\S+)`)

// held returns what the entry holds for others, by its own accounting.
func (e *entry) held(t *testing.T) map[string]float64 {
	t.Helper()
	response, err := http.Get("http://" + e.metrics + "/metrics")
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	held := map[string]float64{}
	for _, line := range heldLine.FindAllSubmatch(text, -1) {
		value, err := strconv.ParseFloat(string(line[2]), 64)
		require.NoError(t, err)
		held[string(line[1])] = value
	}
	require.Len(t, held, 3)
	return held
}

// Guards against an instance that slow readers drive beyond its memory: 200 callers read 1 KB/s
// of several long answers each.
func TestSlowCallersLeaveMemoryToOthers(t *testing.T) {
	serveBesideSlowCallers(t, func(time.Duration) {})
}

// Guards against other callers that wait for slow readers.
func TestSlowCallersLeaveServersToOthers(t *testing.T) {
	serveBesideSlowCallers(t, func(took time.Duration) { require.Less(t, took, 2*time.Second) })
}

// serveBesideSlowCallers passes the times of other callers' requests to check.
func serveBesideSlowCallers(t *testing.T, check func(took time.Duration)) {
	const callers, pipelined, answerBytes, memoryBytes = 200, 4, 900_000, 184 << 20
	s := newStore()
	s.configure(1, "/x/")
	long := make([]byte, answerBytes)
	for i := range 2 {
		s.startServer(t, fmt.Sprint("i-", i), func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/x/long" {
				echo(w, r)
				return
			}
			w.Header().Set("Content-Length", fmt.Sprint(answerBytes))
			_, _ = w.Write(long)
		})
	}
	e := startEntry(t, "entry-1", 1, hoster.Config{
		Registry: s, Servers: s.servers, Configurations: s.configurations, Evacuations: s.evacuations, Instances: s.instances,
		MemoryBytes: memoryBytes, Listeners: hoster.Listeners{Callers: shortQueueListener{listen(t)}},
	})
	eventually(t, "the entry serves", func() bool {
		status, _, _ := e.get(t, "/x/first")
		return status == http.StatusOK
	})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var readers sync.WaitGroup
	var conns []net.Conn
	for i := range callers {
		conn := dialSlow(t, e.CallerAddress)
		for n := range pipelined {
			_, err := fmt.Fprintf(conn, "GET /x/long HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: slow-%d-%d\r\n\r\n", i, n)
			require.NoError(t, err)
		}
		conns = append(conns, conn)
		readers.Go(func() { readSlowly(conn, nil) })
	}
	// Until then the servers are busy with the burst.
	eventually(t, "callers are slow", func() bool { return e.held(t)["answers"] > 10*answerBytes })
	for n := range 40 {
		started := time.Now()
		status, body, _ := e.get(t, fmt.Sprint("/x/short/", n))
		require.Equal(t, http.StatusOK, status, body)
		check(time.Since(started))
		for of, bytes := range e.held(t) {
			require.LessOrEqual(t, bytes, float64(memoryBytes)/8, of)
		}
		time.Sleep(50 * time.Millisecond)
	}
	require.Greater(t, e.held(t)["answers"], float64(4*answerBytes), "callers are still slow")
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.Less(t, float64(after.HeapAlloc)-float64(before.HeapAlloc), float64(memoryBytes)*0.4)
	stoppedAt := time.Now()
	e.stop()
	<-e.done
	require.Less(t, time.Since(stoppedAt), 2*stopGrace, "a stop ends in time")
	require.NoError(t, e.err)
	for _, conn := range conns {
		_ = conn.Close()
	}
	readers.Wait()
}

// readSlowly reads 1 KB a second until the source ends, or the channel is closed.
func readSlowly(source io.Reader, ended <-chan struct{}) {
	reader := bufio.NewReaderSize(source, 16)
	for {
		if _, err := io.CopyN(io.Discard, reader, 1000); err != nil {
			return
		}
		select {
		case <-ended:
			return
		case <-time.After(time.Second):
		}
	}
}

// Guards against servers that read uploads slowly and take the memory, or the servers, from
// others: an upload is held until its deadline, others are refused at once, before their body
// is read, and short requests are served meanwhile.
func TestSlowServersHoldUploadsWithinTheBound(t *testing.T) {
	const uploads, bodyBytes, memoryBytes = 200, 400_000, 184 << 20
	s := newStore()
	s.configureKind(1, "/x/", router.Upload)
	ended := make(chan struct{})
	for i := range 3 {
		s.startServer(t, fmt.Sprint("i-", i), func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/x/upload" {
				echo(w, r)
				return
			}
			readSlowly(r.Body, ended)
		})
	}
	e := startEntry(t, "entry-1", 1, hoster.Config{
		Registry: s, Servers: s.servers, Configurations: s.configurations, Evacuations: s.evacuations, Instances: s.instances,
		MemoryBytes: memoryBytes,
	})
	eventually(t, "the entry serves", func() bool {
		status, _, _ := e.get(t, "/x/first")
		return status == http.StatusOK
	})
	t.Cleanup(func() { close(ended) })
	refused, held := make(chan time.Duration, uploads), make(chan time.Duration, uploads)
	started := time.Now()
	for i := range uploads {
		conn := dialSlow(t, e.CallerAddress)
		go func() {
			_, _ = fmt.Fprintf(conn, "POST /x/upload HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: up-%d\r\nContent-Length: %d\r\n\r\n", i, bodyBytes)
			go func() { _, _ = conn.Write(make([]byte, bodyBytes)) }()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil && response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != "" {
				refused <- time.Since(started)
				return
			}
			held <- time.Since(started)
		}()
	}
	maxHeld := 0.0
	for len(held)+len(refused) < uploads {
		require.LessOrEqual(t, e.held(t)["bodies"], float64(memoryBytes)/8)
		maxHeld = max(maxHeld, e.held(t)["bodies"])
		status, body, _ := e.get(t, fmt.Sprint("/x/short/", len(held), "-", len(refused)))
		require.Equal(t, http.StatusOK, status, body)
		time.Sleep(50 * time.Millisecond)
	}
	require.Greater(t, maxHeld, 10.0*bodyBytes, "servers are slow")
	require.NotEmpty(t, refused)
	eventually(t, "the memory is free again", func() bool { return e.held(t)["bodies"] == 0 })
}
