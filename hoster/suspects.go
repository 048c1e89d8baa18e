package hoster

import (
	"bytes"
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
	// suspectsPath is where instances tell each other of requests that crash
	// servers.
	suspectsPath = "/suspects"
	// tellPause gathers what is told at once.
	tellPause = 100 * time.Millisecond
	// tellTimeout bounds one message; tellMaxRecords is its size.
	tellTimeout    = time.Second
	tellMaxRecords = 64
	maxTellBytes   = 64 << 10
)

// suspectRecord is a record between instances.
type suspectRecord struct {
	Fingerprint string    `json:"fingerprint"`
	Strikes     int       `json:"strikes"`
	Until       time.Time `json:"until"`
}

// gossip passes records of requests that crash servers on to every instance.
type gossip struct {
	client *http.Client
	peers  func() []namer.Instance
	log    *slog.Logger

	mu      sync.Mutex
	pending []isolator.Record
}

// tell passes a record on, with those that come soon after.
func (g *gossip) tell(record isolator.Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.pending) >= tellMaxRecords {
		return
	}
	g.pending = append(g.pending, record)
	if len(g.pending) == 1 {
		time.AfterFunc(tellPause, g.send)
	}
}

func (g *gossip) send() {
	g.mu.Lock()
	pending := g.pending
	g.pending = nil
	g.mu.Unlock()
	var message []suspectRecord
	for _, r := range pending {
		message = append(message, suspectRecord{Fingerprint: hex.EncodeToString(r.Fingerprint[:]), Strikes: r.Crashes, Until: r.Until})
	}
	body, err := json.Marshal(message)
	if err != nil {
		g.log.Error("suspects were not told", recorder.EventRequestSuspected.Attr(), slog.Any("error", err))
		return
	}
	for _, peer := range g.peers() {
		go g.sendTo(peer, body)
	}
}

func (g *gossip) sendTo(peer namer.Instance, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	err := g.post(ctx, peer, body)
	if err != nil {
		g.log.Warn("an instance was not told of suspects", recorder.EventRequestSuspected.Attr(),
			slog.String("instance", peer.ID), slog.Any("error", err))
	}
}

func (g *gossip) post(ctx context.Context, peer namer.Instance, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.PeerAddress+suspectsPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := g.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// readSuspects decodes the records of another instance.
func readSuspects(body io.Reader) ([]isolator.Record, error) {
	var message []suspectRecord
	if err := json.NewDecoder(io.LimitReader(body, maxTellBytes)).Decode(&message); err != nil {
		return nil, err
	}
	var records []isolator.Record
	for _, r := range message {
		decoded, err := hex.DecodeString(r.Fingerprint)
		var fingerprint isolator.Fingerprint
		if err != nil || len(decoded) != len(fingerprint) {
			return nil, fmt.Errorf("fingerprint %q", r.Fingerprint)
		}
		copy(fingerprint[:], decoded)
		records = append(records, isolator.Record{Fingerprint: fingerprint, Crashes: r.Strikes, Until: r.Until})
	}
	return records, nil
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
