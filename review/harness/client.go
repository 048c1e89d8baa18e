package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pollencrank/pollencrank/platform/imitator"
	"github.com/pollencrank/pollencrank/platform/wire"
)

// newID returns an ID of an attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// resolve asks the directory of up to three entries where a client of one of the zones of the
// entries is to connect.
func (f *fleet) resolve() []string {
	zone := f.site.entryZones[rand.IntN(len(f.site.entryZones))]
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, i := range rand.Perm(len(f.entries))[:min(3, len(f.entries))] {
		url := imitator.LookupURL(f.entries[i].ip, f.site.regionOf[zone], zone)
		url = strings.Replace(url, "name=soak", "name="+clientHost, 1)
		addresses, err := imitator.Lookup(context.Background(), client, url)
		if err == nil && len(addresses) > 0 {
			return addresses
		}
	}
	return nil
}

// clientConn is a connection of a client.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// reply is what a client got. The status is 0 if no complete answer came.
type reply struct {
	status     int
	retryAfter time.Duration
	// isKept says that the connection may be used again.
	isKept bool
}

// send sends a request with a body of known length and returns the answer.
func (c *clientConn) send(method, path, id string, timeout time.Duration, body string) reply {
	_ = c.SetDeadline(time.Now().Add(timeout))
	length := ""
	if method != http.MethodGet {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n%s", method, path, clientHost,
		wire.HeaderAttempt, id, wire.HeaderDeadline, timeout.Milliseconds(), length, body)
	if err != nil {
		return reply{}
	}
	return c.readAnswer()
}

func (c *clientConn) readAnswer() reply {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return reply{}
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return reply{}
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return reply{status: response.StatusCode, retryAfter: time.Duration(seconds * float64(time.Second)), isKept: !response.Close}
}
