package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// slowPiece and slowPause make a client read 64 KB a second.
	slowPiece = 8 << 10
	slowPause = 125 * time.Millisecond
	// sendEvery is the time after which a client sends its next request, whatever it has read.
	sendEvery = 400 * time.Millisecond
	// pipelined is the number of requests of a connection.
	pipelined = 8
	// receiveBuffer is the receive buffer of a client.
	receiveBuffer = 16 << 10
)

// slowAnswer: an entry is stopped as planned while clients that send further requests before the
// first one is answered read their answers slowly.
func slowAnswer(r *rig, hasTrouble bool) (outcome, error) {
	const (
		work        = 100 * time.Millisecond
		answerBytes = 90 << 10
		clients     = 12
	)
	var ran sync.Map
	for range 4 {
		for _, zone := range zones {
			u, err := r.addUpstream(files, zone, 3, work, func(x run) bool {
				ran.Store(x.id, x.upstream)
				return false
			})
			if err != nil {
				return outcome{}, err
			}
			u.answerBytes = answerBytes
		}
	}
	if err := r.configure(1, []route{{
		name: "manual-download", prefix: "/veco27/", kind: "download", service: files,
		timeout: 8 * time.Second, target: 1200 * time.Millisecond, priority: 1, maxAttempts: 2,
	}}, files); err != nil {
		return outcome{}, err
	}
	for _, zone := range zones {
		if _, err := r.addEntry(zone, r.storeLink.address, true); err != nil {
			return outcome{}, err
		}
	}
	if err := r.startAll(); err != nil {
		return outcome{}, err
	}
	time.Sleep(5 * time.Second)
	r.say("traffic starts")
	var all sync.WaitGroup
	found := make([]pipelineResult, clients)
	for n := range clients {
		all.Go(func() { found[n] = r.pipeline(r.entries[0], n) })
		time.Sleep(50 * time.Millisecond)
	}
	if hasTrouble {
		r.say("SIGTERM to %s", r.entries[0].name)
		r.entries[0].signal(syscall.SIGTERM)
	}
	all.Wait()
	lost, whole := 0, 0
	for n, x := range found {
		whole += x.whole
		for i := x.whole; i < x.sent; i++ {
			if upstream, hasRun := ran.Load(pipelineID(n, i)); hasRun {
				lost++
				r.say("%s was run by %s, and its answer is not whole: %v", pipelineID(n, i), upstream, x.err)
			}
		}
	}
	return outcome{
		isBroken: lost > 0,
		text:     fmt.Sprintf("LOST: %d answers were whole; %d requests were passed on to an upstream and their connections ended without a whole answer", whole, lost),
	}, nil
}

func pipelineID(client, number int) string { return fmt.Sprintf("slow-%02d-%d", client, number) }

// pipelineResult is how many requests of a connection were sent and answered, and why not all.
type pipelineResult struct {
	sent, whole int
	err         error
}

// errClosing says that an answer has announced the end of the connection.
var errClosing = errors.New("the answer says Connection: close")

// pipeline sends requests on one connection without waiting for the answers, and reads these
// slowly. It sends no more once it has read that the connection is closed.
func (r *rig) pipeline(e *entry, n int) pipelineResult {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp", fmt.Sprintf("%s:%d", e.ip, frontPort))
	if err != nil {
		return pipelineResult{err: err}
	}
	defer conn.Close()
	var sent atomic.Int64
	ended := make(chan struct{})
	var sender sync.WaitGroup
	sender.Go(func() {
		for i := range pipelined {
			_, err := fmt.Fprintf(conn, "GET /veco27/%d HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 8000\r\n\r\n", n, host, pipelineID(n, i))
			if err != nil {
				return
			}
			sent.Add(1)
			r.say("%s sent", pipelineID(n, i))
			select {
			case <-ended:
				return
			case <-time.After(sendEvery):
			}
		}
	})
	reader := bufio.NewReaderSize(conn, 4<<10)
	result := pipelineResult{}
	for result.whole < pipelined && result.err == nil {
		result.err = r.readSlowly(reader, pipelineID(n, result.whole), ended)
		if result.err == nil || errors.Is(result.err, errClosing) {
			result.whole++
		}
	}
	if result.err == nil {
		close(ended)
	}
	sender.Wait()
	result.sent = int(sent.Load())
	return result
}

// readSlowly reads one answer. It closes ended if there will be no further one.
func (r *rig) readSlowly(reader *bufio.Reader, id string, ended chan struct{}) error {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		close(ended)
		return err
	}
	if response.Close {
		close(ended)
	}
	got, piece := int64(0), make([]byte, slowPiece)
	for got < response.ContentLength {
		read, err := io.ReadFull(response.Body, piece[:min(slowPiece, response.ContentLength-got)])
		got += int64(read)
		if err != nil {
			if !response.Close {
				close(ended)
			}
			return fmt.Errorf("status %d, %d of %d bytes: %w", response.StatusCode, got, response.ContentLength, err)
		}
		time.Sleep(slowPause)
	}
	r.say("%s answered with status %d, %d bytes, close %t", id, response.StatusCode, got, response.Close)
	if response.Close {
		return errClosing
	}
	return nil
}
