package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollencrank/pollencrank/platform/wire"
)

const (
	// earlyAfter is how much of a body an upstream has read when it answers early.
	earlyAfter  = 560 << 10
	uploadLimit = 4 * time.Second
)

// uploadForm is how clients send uploads: in chunks of chunkBytes, of which they write
// burstBytes at a time, with a pause after each burst.
type uploadForm struct {
	bytes, chunkBytes, burstBytes int
	pause                         time.Duration
	// senders is the number of clients that send uploads.
	senders int
}

// body returns the body of an upload. Every line of it holds its own offset.
func (u uploadForm) body(id string) []byte {
	var body bytes.Buffer
	for body.Len() < u.bytes {
		fmt.Fprintf(&body, "%s:%07x\n", id, body.Len())
	}
	return body.Bytes()[:u.bytes]
}

// uploads holds what upstreams have received of each upload.
type uploads struct {
	form uploadForm

	mu       sync.Mutex
	received map[string]upload
}

type upload struct {
	body []byte
	err  error
}

// playEarlyRefusal sends long uploads in chunks. With trouble, a part of the upstreams turns
// some of them away before the body is in, keeps the connection and reads on.
func playEarlyRefusal(f *fleet, withTrouble bool) (bool, error) {
	all := &uploads{form: uploadForm{bytes: 720 << 10, chunkBytes: 8 << 10, burstBytes: 8 << 10, pause: 2 * time.Millisecond, senders: 8}}
	if err := f.configure([]route{{"/uploads/", "upload", "fieldvault", "4000ms"}}, []string{"fieldvault"}); err != nil {
		return false, err
	}
	garble := earlyDose()
	if err := all.startUpstreams(f, garble, withTrouble); err != nil {
		return false, err
	}
	if err := f.startEntries(); err != nil {
		return false, err
	}
	time.Sleep(settlingTime)
	wrong, count := all.sendUntil(f, garble.begin())
	f.record("%d of %d uploads reached an upstream with other bytes", wrong, count)
	return wrong > 0, nil
}

// earlyDose returns the dose of garble, "early", in the site file: share 0.7, x 0.4, 6 s.
func earlyDose() *dose {
	return &dose{upstreams: 7, share: 0.4, span: 6 * time.Second, pause: 6 * time.Second, times: 3}
}

// startUpstreams starts the upstreams that get the uploads.
func (a *uploads) startUpstreams(f *fleet, garble *dose, withTrouble bool) error {
	a.received = map[string]upload{}
	for i, zone := range f.site.upstreamZones {
		u := &upstream{fleet: f, id: fmt.Sprintf("i-%d", i+1), service: "fieldvault", zone: zone, slots: 3, queue: 9}
		u.serveOwn = func(c *upstreamConn, r *http.Request, body io.Reader) bool {
			a.receive(c, r, body, withTrouble && garble.strikes(i))
			return true
		}
		if err := u.start("127.0.0.1:0"); err != nil {
			return err
		}
	}
	return nil
}

// sendUntil sends uploads until the end, and returns how many of them have reached an
// upstream with other bytes, and how many were sent.
func (a *uploads) sendUntil(f *fleet, end time.Time) (wrong, count int64) {
	var tasks sync.WaitGroup
	var wrongs, counts atomic.Int64
	for range a.form.senders {
		tasks.Go(func() {
			for time.Now().Before(end) {
				id := newID()
				status := f.upload(a.form, id, int(counts.Add(1)))
				time.Sleep(150 * time.Millisecond)
				if a.isWrong(f, id, status) {
					wrongs.Add(1)
				}
			}
		})
	}
	tasks.Wait()
	return wrongs.Load(), counts.Load()
}

// receive reads an upload at an upstream, or turns it away early and reads the rest then.
func (a *uploads) receive(c *upstreamConn, r *http.Request, body io.Reader, isEarly bool) {
	id := r.Header.Get(wire.HeaderAttempt)
	c.fleet.record("upstream %s reads %s (%s %s)", c.id, id, r.Method, r.RequestURI)
	var first, rest []byte
	var err error
	if isEarly {
		first = make([]byte, earlyAfter)
		var n int
		n, err = io.ReadFull(body, first)
		first = first[:n]
		if err == nil {
			c.reply(r, http.StatusServiceUnavailable, []byte("full\n"), false)
			c.fleet.record("upstream %s has turned %s away after %d bytes of its body, and reads on", c.id, id, n)
		}
	}
	if err == nil {
		rest, err = io.ReadAll(body)
	}
	if !isEarly && err == nil {
		c.fleet.record("upstream %s runs %s", c.id, id)
		c.reply(r, http.StatusOK, []byte("done "+id), true)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.received[id] = upload{body: append(first, rest...), err: err}
}

// upload sends an upload and returns the status of the answer.
func (f *fleet) upload(form uploadForm, id string, number int) int {
	addresses := f.resolve()
	if len(addresses) == 0 {
		return 0
	}
	conn, err := dial(addresses[rand.IntN(len(addresses))])
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(uploadLimit))
	f.record("client sends %s (POST /uploads/%d) of %d bytes in chunks", id, number, form.bytes)
	var burst bytes.Buffer
	fmt.Fprintf(&burst, "POST /uploads/%d HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nTransfer-Encoding: chunked\r\n\r\n", number, clientHost,
		wire.HeaderAttempt, id, wire.HeaderDeadline, uploadLimit.Milliseconds())
	answered := make(chan reply, 1)
	go func() { answered <- conn.readAnswer() }()
	for body := form.body(id); len(body) > 0; body = body[min(len(body), form.chunkBytes):] {
		chunk := body[:min(len(body), form.chunkBytes)]
		fmt.Fprintf(&burst, "%x\r\n%s\r\n", len(chunk), chunk)
		if burst.Len() < form.burstBytes {
			continue
		}
		if _, err := conn.Write(burst.Bytes()); err != nil {
			break
		}
		burst.Reset()
		time.Sleep(form.pause)
	}
	burst.WriteString("0\r\n\r\n")
	_, _ = conn.Write(burst.Bytes())
	answer := <-answered
	f.record("client gets %d for %s", answer.status, id)
	return answer.status
}

// isWrong reports whether an upstream has received other bytes than the client sent: a
// body that ended properly and is not the client's, or a broken one that is no part of it.
func (a *uploads) isWrong(f *fleet, id string, status int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	got, isKnown := a.received[id]
	delete(a.received, id)
	if !isKnown {
		f.record("no upstream has received %s", id)
		return false
	}
	sent := a.form.body(id)
	same := 0
	for same < min(len(got.body), len(sent)) && got.body[same] == sent[same] {
		same++
	}
	switch {
	case got.err == nil && same == len(sent) && len(got.body) == len(sent):
		f.record("the upstream has the whole body of %s", id)
		return false
	case got.err != nil && same == len(got.body):
		f.record("the body of %s broke off at the upstream after %d right bytes: %v", id, same, got.err)
		return false
	}
	end := "as if it were complete"
	if got.err != nil {
		end = "with a broken connection"
	}
	f.record("UNASKED: the upstream has %d bytes for %s, other ones than were sent from byte %d on, ended %s; the client got %d",
		len(got.body), id, same, end, status)
	return true
}
