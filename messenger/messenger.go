// Package messenger talks to the other entries of the fleet, by connect-go
// over HTTP/2. Heartbeats and configuration use connections of their own, so
// that requests passed between entries do not delay them.
//
// # Usage
//
//	client := messenger.NewClient(messenger.ClientConfig{})
//	handler := messenger.NewHandler(messenger.HandlerConfig{Gossip: gossiper, Executor: executor})
//	server := messenger.NewServer(handler, tlsConfig)
package messenger

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/pollencrank/pollencrank/internal/peerpb"
	"github.com/pollencrank/pollencrank/internal/peerpb/peerpbconnect"
)

const (
	dialTimeout = time.Second
	// pingAfter and pingTimeout find connections for forwarded requests whose
	// peer has vanished. Heartbeats find that out for themselves.
	pingAfter   = 5 * time.Second
	pingTimeout = 2 * time.Second
	// idleTimeout exceeds the time between two heartbeats to a neighbour.
	idleTimeout       = 20 * time.Second
	readHeaderTimeout = 5 * time.Second
	// maxMessageBytes bounds a message from a peer.
	maxMessageBytes = 4 << 20
	maxStreams      = 4096
	// compression is the method that connect-go would use by default.
	compression = "gzip"
)

// ClientConfig is the configuration of a Client.
type ClientConfig struct {
	// TLS is used if it is not nil; otherwise connections are in clear text.
	TLS *tls.Config
	// DialContext opens connections. The default is a net.Dialer.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends messages to other entries.
type Client struct {
	scheme  string
	control *http.Client
	data    *http.Client

	mu    sync.RWMutex
	peers map[string]*peer
}

// peer is the pair of stubs for one address.
type peer struct {
	control peerpbconnect.PeerServiceClient
	data    peerpbconnect.PeerServiceClient
}

// NewClient returns a Client.
func NewClient(config ClientConfig) *Client {
	if config.DialContext == nil {
		config.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	c := &Client{
		scheme:  "http",
		control: &http.Client{Transport: newTransport(config, 0)},
		data:    &http.Client{Transport: newTransport(config, pingAfter)},
		peers:   map[string]*peer{},
	}
	if config.TLS != nil {
		c.scheme = "https"
	}
	return c
}

func newTransport(config ClientConfig, ping time.Duration) *http.Transport {
	protocols := &http.Protocols{}
	if config.TLS != nil {
		protocols.SetHTTP2(true)
	} else {
		protocols.SetUnencryptedHTTP2(true)
	}
	return &http.Transport{
		DialContext: config.DialContext,
		// A transport changes its configuration, and there are two of them.
		TLSClientConfig:    config.TLS.Clone(),
		Protocols:          protocols,
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:      ping,
			PingTimeout:          pingTimeout,
			MaxConcurrentStreams: maxStreams,
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.control.CloseIdleConnections()
	c.data.CloseIdleConnections()
}

func (c *Client) peer(address string) *peer {
	c.mu.RLock()
	p := c.peers[address]
	c.mu.RUnlock()
	if p != nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p = c.peers[address]; p != nil {
		return p
	}
	base := c.scheme + "://" + address
	options := []connect.ClientOption{
		connect.WithReadMaxBytes(maxMessageBytes),
		// Messages are small or already dense; compressing them costs more
		// than it saves.
		connect.WithAcceptCompression(compression, nil, nil),
	}
	p = &peer{
		control: peerpbconnect.NewPeerServiceClient(c.control, base, options...),
		data:    peerpbconnect.NewPeerServiceClient(c.data, base, options...),
	}
	c.peers[address] = p
	return p
}

// Keep forgets the peers whose addresses are not listed.
func (c *Client) Keep(addresses []string) {
	keep := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		keep[a] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for address := range c.peers {
		if !keep[address] {
			delete(c.peers, address)
		}
	}
}

// unary performs a call and unwraps its answer.
func unary[Request, Response any](
	ctx context.Context,
	call func(context.Context, *connect.Request[Request]) (*connect.Response[Response], error),
	request *Request,
) (*Response, error) {
	response, err := call(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// Exchange sends a heartbeat.
func (c *Client) Exchange(ctx context.Context, address string, request *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	return unary(ctx, c.peer(address).control.Exchange, request)
}

// Probe asks a peer to send a heartbeat to a third instance.
func (c *Client) Probe(ctx context.Context, address string, request *peerpb.ProbeRequest) (*peerpb.ProbeResponse, error) {
	return unary(ctx, c.peer(address).control.Probe, request)
}

// PushChanges offers configuration changes.
func (c *Client) PushChanges(ctx context.Context, address string, request *peerpb.PushChangesRequest) (*peerpb.PushChangesResponse, error) {
	return unary(ctx, c.peer(address).control.PushChanges, request)
}

// AcquireServers asks the previous owner of backend servers to let go.
func (c *Client) AcquireServers(ctx context.Context, address string, request *peerpb.AcquireServersRequest) (*peerpb.AcquireServersResponse, error) {
	return unary(ctx, c.peer(address).control.AcquireServers, request)
}

// Claim reserves an idempotency key.
func (c *Client) Claim(ctx context.Context, address string, request *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	return unary(ctx, c.peer(address).control.Claim, request)
}

// ShareSuspects passes on requests that servers died of.
func (c *Client) ShareSuspects(ctx context.Context, address string, request *peerpb.ShareSuspectsRequest) (*peerpb.ShareSuspectsResponse, error) {
	return unary(ctx, c.peer(address).control.ShareSuspects, request)
}

// Grant asks for allowances on links.
func (c *Client) Grant(ctx context.Context, address string, request *peerpb.GrantRequest) (*peerpb.GrantResponse, error) {
	return unary(ctx, c.peer(address).control.Grant, request)
}

// Summarize asks for a summary of an instance or its failure domain.
func (c *Client) Summarize(ctx context.Context, address string, request *peerpb.SummarizeRequest) (*peerpb.SummarizeResponse, error) {
	return unary(ctx, c.peer(address).control.Summarize, request)
}

// Settle records what became of a claimed key.
func (c *Client) Settle(ctx context.Context, address string, request *peerpb.SettleRequest) (*peerpb.SettleResponse, error) {
	return unary(ctx, c.peer(address).control.Settle, request)
}

// HandOverClaims moves claims to their next home.
func (c *Client) HandOverClaims(ctx context.Context, address string, request *peerpb.HandOverClaimsRequest) (*peerpb.HandOverClaimsResponse, error) {
	return unary(ctx, c.peer(address).control.HandOverClaims, request)
}

// PullConfiguration fetches configuration and calls each with every part.
func (c *Client) PullConfiguration(ctx context.Context, address string, request *peerpb.PullConfigurationRequest,
	each func(*peerpb.PullConfigurationResponse) error) error {
	stream, err := c.peer(address).control.PullConfiguration(ctx, connect.NewRequest(request))
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
		if err := each(stream.Msg()); err != nil {
			return err
		}
	}
	return stream.Err()
}

// NewServer returns the HTTP server for a handler.
func NewServer(handler http.Handler, tlsConfig *tls.Config) *http.Server {
	protocols := &http.Protocols{}
	if tlsConfig != nil {
		protocols.SetHTTP2(true)
	} else {
		protocols.SetUnencryptedHTTP2(true)
	}
	return &http.Server{
		Handler:           handler,
		TLSConfig:         tlsConfig,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       2 * idleTimeout,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams,
		},
	}
}
