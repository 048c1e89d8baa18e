package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pollencrank/pollencrank/platform/wire"
)

const (
	downloadBytes = 1536 << 10
	downloadLimit = 4 * time.Second
	// pipelined is the number of downloads that a client requests at once.
	pipelined = 4
	// allowedLost is the number of requests that the rule allows to be lost.
	allowedLost = 3
)

// downloads holds which upstream ran each download, and which upstreams are faulty.
type downloads struct {
	mu     sync.Mutex
	ran    map[string]string
	faulty map[string]bool
}

// playBrokenDownload lets clients request downloads in pipelines. With trouble, a part of
// the upstreams breaks off a small share of its answers.
func playBrokenDownload(f *fleet, withTrouble bool) (bool, error) {
	if err := f.configure([]route{{"/sheets/", "download", "drawvault", "4000ms"}}, []string{"drawvault"}); err != nil {
		return false, err
	}
	all := &downloads{ran: map[string]string{}, faulty: map[string]bool{}}
	// The dose of garble in the site file: x 0.02, 5.5 s; its share 0.35 of five upstreams is one.
	garble := dose{upstreams: 1, share: 0.02, span: 5500 * time.Millisecond, pause: 4500 * time.Millisecond, times: 8}
	for i, zone := range f.site.upstreamZones {
		u := &upstream{fleet: f, id: fmt.Sprintf("i-%d", i+1), service: "drawvault", zone: zone, slots: 3, queue: 9}
		u.serveOwn = func(c *upstreamConn, r *http.Request, body io.Reader) bool {
			_, _ = io.Copy(io.Discard, body)
			return all.serve(c, r, withTrouble && garble.strikes(i))
		}
		all.faulty[u.id] = i < garble.upstreams
		if err := u.start("127.0.0.1:0"); err != nil {
			return false, err
		}
	}
	if err := f.startEntries(); err != nil {
		return false, err
	}
	time.Sleep(settlingTime)
	end := garble.begin()
	var tasks sync.WaitGroup
	var mu sync.Mutex
	lost, count := 0, 0
	for range 6 {
		tasks.Go(func() {
			for time.Now().Before(end) {
				n := f.download(all)
				mu.Lock()
				lost += n
				count += pipelined
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	tasks.Wait()
	f.record("%d of %d downloads were passed on to a sound upstream, and their connection was closed without an answer", lost, count)
	return lost > allowedLost, nil
}

// serve answers a download. A spoilt answer breaks off halfway.
func (a *downloads) serve(c *upstreamConn, r *http.Request, isSpoilt bool) bool {
	id := r.Header.Get(wire.HeaderAttempt)
	c.fleet.record("upstream %s runs %s (%s %s)", c.id, id, r.Method, r.RequestURI)
	time.Sleep(40 * time.Millisecond)
	answer := c.encode(r, http.StatusOK, []byte(strings.Repeat("0123456789abcdef", downloadBytes/16)), true)
	a.mu.Lock()
	a.ran[id] = c.id
	a.mu.Unlock()
	if isSpoilt {
		_, _ = c.Write(answer[:len(answer)-downloadBytes/4])
		c.fleet.record("upstream %s breaks off its answer to %s", c.id, id)
		_ = c.Conn.Close()
		return true
	}
	_, _ = c.Write(answer)
	return true
}

// download requests some downloads at once on one connection, and returns how many of them
// were lost: passed on to a sound upstream, but not answered before the connection ended.
func (f *fleet) download(all *downloads) int {
	addresses := f.resolve()
	if len(addresses) == 0 {
		return 0
	}
	conn, err := dial(addresses[rand.IntN(len(addresses))])
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(downloadLimit))
	// The first answer makes this a kept connection.
	if first := conn.send(http.MethodGet, "/sheets/first", newID(), downloadLimit, ""); !first.isKept {
		return 0
	}
	var ids []string
	writer := bufio.NewWriter(conn)
	for range pipelined {
		id := newID()
		ids = append(ids, id)
		fmt.Fprintf(writer, "GET /sheets/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", id, clientHost,
			wire.HeaderAttempt, id, wire.HeaderDeadline, downloadLimit.Milliseconds())
	}
	f.record("client sends %v in one pipeline", ids)
	_ = writer.Flush()
	answered, isClosed := 0, false
	for range ids {
		answer, err := conn.readWhole()
		if err != nil {
			isClosed = !strings.Contains(err.Error(), "timeout")
			f.record("client gets no whole answer for %s: %v", ids[answered], err)
			break
		}
		f.record("client gets %d for %s", answer, ids[answered])
		answered++
	}
	if !isClosed {
		return 0
	}
	time.Sleep(300 * time.Millisecond)
	all.mu.Lock()
	defer all.mu.Unlock()
	lost := 0
	for _, id := range ids[answered:] {
		if upstream := all.ran[id]; upstream != "" && !all.faulty[upstream] {
			lost++
			f.record("LOST: %s was passed on to upstream %s, which is sound; the connection was closed without an answer", id, upstream)
		}
	}
	return lost
}

// readWhole reads an answer to its end.
func (c *clientConn) readWhole() (int, error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
