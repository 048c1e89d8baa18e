package hoster

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pollencrank/pollencrank/isolator"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/recorder"
)

const (
	// suspectsPath is the path at which an instance receives the records of requests
	// that crash servers.
	suspectsPath = "/suspects"
	// broadcastDelay is the time in which records are batched into one message. A caller
	// that repeats a crashing request may overtake the record in it.
	broadcastDelay = 10 * time.Millisecond
	// broadcastTimeout limits the time to send one message, maxPendingRecords its
	// number of records, and maxSuspectsBytes the size of a received message.
	broadcastTimeout  = time.Second
	maxPendingRecords = 64
	maxSuspectsBytes  = 64 << 10
)

// suspectRecord is the encoding of isolator.Record between instances.
type suspectRecord struct {
	Fingerprint string    `json:"fingerprint"`
	Crashes     int       `json:"strikes"`
	Until       time.Time `json:"until"`
}

// suspectBroadcaster sends records of requests that crash servers to every other
// instance.
type suspectBroadcaster struct {
	client *http.Client
	peers  func() []namer.Instance
	log    *slog.Logger

	// sends counts the messages that are waiting or under way.
	sends sync.WaitGroup

	mu      sync.Mutex
	pending []isolator.Record
	// dropped is the number of records that did not fit in the next message.
	dropped int
}

// enqueue adds a record to the next message. It drops the record if the message is full.
func (b *suspectBroadcaster) enqueue(record isolator.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) >= maxPendingRecords {
		b.dropped++
		return
	}
	b.pending = append(b.pending, record)
	if len(b.pending) == 1 {
		b.sends.Go(b.send)
	}
}

// wait returns when the messages that are waiting or under way have been sent.
func (b *suspectBroadcaster) wait() { b.sends.Wait() }

func (b *suspectBroadcaster) send() {
	time.Sleep(broadcastDelay)
	b.mu.Lock()
	pending, dropped := b.pending, b.dropped
	b.pending, b.dropped = nil, 0
	b.mu.Unlock()
	if dropped > 0 {
		b.log.Warn("records of suspects were dropped because too many arrived at once", recorder.EventRequestSuspected.Attr(), slog.Int("count", dropped))
	}
	var message []suspectRecord
	for _, r := range pending {
		message = append(message, suspectRecord{Fingerprint: hex.EncodeToString(r.Fingerprint[:]), Crashes: r.Crashes, Until: r.Until})
	}
	body, err := json.Marshal(message)
	if err != nil {
		b.log.Error("records of suspects could not be encoded", recorder.EventRequestSuspected.Attr(), slog.Any("error", err))
		return
	}
	for _, peer := range b.peers() {
		b.sends.Go(func() { b.sendTo(peer, body) })
	}
}

func (b *suspectBroadcaster) sendTo(peer namer.Instance, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), broadcastTimeout)
	defer cancel()
	err := post(ctx, b.client, peer, suspectsPath, body)
	if err != nil {
		b.log.Warn("records of suspects could not be sent to an instance", recorder.EventRequestSuspected.Attr(),
			slog.String("instance", peer.ID), slog.Any("error", err))
	}
}

// readSuspects decodes records that another instance sent.
func readSuspects(body io.Reader) ([]isolator.Record, error) {
	var message []suspectRecord
	if err := json.NewDecoder(io.LimitReader(body, maxSuspectsBytes)).Decode(&message); err != nil {
		return nil, err
	}
	var records []isolator.Record
	for _, r := range message {
		decoded, err := hex.DecodeString(r.Fingerprint)
		var fingerprint isolator.Fingerprint
		if err != nil || len(decoded) != len(fingerprint) {
			return nil, fmt.Errorf("malformed fingerprint %q", r.Fingerprint)
		}
		copy(fingerprint[:], decoded)
		records = append(records, isolator.Record{Fingerprint: fingerprint, Crashes: r.Crashes, Until: r.Until})
	}
	return records, nil
}

// mergeSuspects adds records of another instance, and tells all of requests that it has blocked
// and that were answered here. A record without crashes is of a request that was answered.
func (h *Hoster) mergeSuspects(records []isolator.Record, now time.Time) {
	var crashed []isolator.Record
	for _, r := range records {
		if r.Crashes == 0 {
			h.isolator.MergeAnswer(r.Fingerprint, now)
			continue
		}
		crashed = append(crashed, r)
	}
	for _, answered := range h.isolator.Merge(crashed, now) {
		h.broadcaster.enqueue(isolator.AnsweredRecord(answered, now))
	}
}

// isDown reports whether nothing accepts connections at a server's address.
func isDown(ctx context.Context, address string) bool {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	}
	_ = conn.Close()
	return false
}
