// Package messenger sends messages to other entries and handles theirs, with connect-go
// over HTTP/2. Heartbeats and configuration use separate connections, so that forwarded
// requests do not delay them.
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
	// pingAfter and pingTimeout detect connections for forwarded requests whose
	// peer no longer answers. Control connections need no pings, as heartbeats
	// detect an unreachable peer.
	pingAfter   = 5 * time.Second
	pingTimeout = 2 * time.Second
	// idleTimeout exceeds the interval of the heartbeats to a neighbour, so that
	// their connections stay open.
	idleTimeout       = 20 * time.Second
	readHeaderTimeout = 5 * time.Second
	// maxMessageBytes is the largest message that is accepted from a peer.
	maxMessageBytes = 4 << 20
	maxStreams      = 4096
	// compression is the default method of connect-go, which clients and handlers
	// disable.
	compression = "gzip"
)

// ClientConfig is the configuration of a Client.
type ClientConfig struct {
	// TLS configures the connections. If it is nil, they are not encrypted.
	TLS *tls.Config
	// DialContext opens connections. The default is a net.Dialer with
	// dialTimeout.
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

// peer holds the service clients for one address.
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
		// A transport modifies its TLS configuration, which the two transports
		// of a Client must not share.
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
		// Messages are small or compress badly, so compression would cost more
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

// unary performs a unary call and returns the message of the response.
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

// PushChanges sends configuration changes to a peer.
func (c *Client) PushChanges(ctx context.Context, address string, request *peerpb.PushChangesRequest) (*peerpb.PushChangesResponse, error) {
	return unary(ctx, c.peer(address).control.PushChanges, request)
}

// AcquireServers asks the previous owner of backend servers to release them.
func (c *Client) AcquireServers(ctx context.Context, address string, request *peerpb.AcquireServersRequest) (*peerpb.AcquireServersResponse, error) {
	return unary(ctx, c.peer(address).control.AcquireServers, request)
}

// Claim reserves an idempotency key.
func (c *Client) Claim(ctx context.Context, address string, request *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	return unary(ctx, c.peer(address).control.Claim, request)
}

// ShareSuspects sends records of requests that were in flight when a server crashed.
func (c *Client) ShareSuspects(ctx context.Context, address string, request *peerpb.ShareSuspectsRequest) (*peerpb.ShareSuspectsResponse, error) {
	return unary(ctx, c.peer(address).control.ShareSuspects, request)
}

// Grant requests allowances on links.
func (c *Client) Grant(ctx context.Context, address string, request *peerpb.GrantRequest) (*peerpb.GrantResponse, error) {
	return unary(ctx, c.peer(address).control.Grant, request)
}

// Summarize requests a summary of an instance or its failure domain.
func (c *Client) Summarize(ctx context.Context, address string, request *peerpb.SummarizeRequest) (*peerpb.SummarizeResponse, error) {
	return unary(ctx, c.peer(address).control.Summarize, request)
}

// Settle records the result of the request that claimed an idempotency key.
func (c *Client) Settle(ctx context.Context, address string, request *peerpb.SettleRequest) (*peerpb.SettleResponse, error) {
	return unary(ctx, c.peer(address).control.Settle, request)
}

// HandOverClaims hands claims over to the entry that holds them next.
func (c *Client) HandOverClaims(ctx context.Context, address string, request *peerpb.HandOverClaimsRequest) (*peerpb.HandOverClaimsResponse, error) {
	return unary(ctx, c.peer(address).control.HandOverClaims, request)
}

// PullConfiguration fetches the configuration and calls handlePart with every part.
func (c *Client) PullConfiguration(ctx context.Context, address string, request *peerpb.PullConfigurationRequest,
	handlePart func(*peerpb.PullConfigurationResponse) error) error {
	stream, err := c.peer(address).control.PullConfiguration(ctx, connect.NewRequest(request))
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
		if err := handlePart(stream.Msg()); err != nil {
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
