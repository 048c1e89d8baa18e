package messenger

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/peerpb"
	"github.com/pollencrank/pollencrank/internal/peerpb/peerpbconnect"
)

// GossipHandler handles heartbeats and indirect probes.
type GossipHandler interface {
	HandleExchange(request *peerpb.ExchangeRequest) *peerpb.ExchangeResponse
	HandleProbe(ctx context.Context, request *peerpb.ProbeRequest) *peerpb.ProbeResponse
}

// ConfigurationHandler handles pushes and pulls of the configuration.
type ConfigurationHandler interface {
	HandlePush(ctx context.Context, request *peerpb.PushChangesRequest, from string) *peerpb.PushChangesResponse
	HandlePull(request *peerpb.PullConfigurationRequest, send func(*peerpb.PullConfigurationResponse) error) error
}

// ClaimHandler handles messages about claims of idempotency keys.
type ClaimHandler interface {
	HandleClaim(ctx context.Context, request *peerpb.ClaimRequest) *peerpb.ClaimResponse
	HandleSettle(request *peerpb.SettleRequest)
	HandleHandOver(request *peerpb.HandOverClaimsRequest) error
}

// OwnerHandler releases backend servers whose new owner is another entry.
type OwnerHandler interface {
	HandleAcquire(request *peerpb.AcquireServersRequest) *peerpb.AcquireServersResponse
}

// SummaryHandler summarizes this instance or its failure domain.
type SummaryHandler interface {
	HandleSummarize(ctx context.Context, request *peerpb.SummarizeRequest) *peerpb.SummarizeResponse
}

// SuspectHandler handles records of requests that were in flight when a server crashed.
type SuspectHandler interface {
	HandleSuspects(ctx context.Context, request *peerpb.ShareSuspectsRequest)
}

// GrantHandler grants allowances on links.
type GrantHandler interface {
	HandleGrant(request *peerpb.GrantRequest) *peerpb.GrantResponse
}

// HandlerConfig is the configuration of a handler.
type HandlerConfig struct {
	Gossip        GossipHandler
	Configuration ConfigurationHandler
	Claims        ClaimHandler
	// Executor runs forwarded requests on the servers that this entry owns.
	Executor pollencrank.Executor
	Owner    OwnerHandler
	Summary  SummaryHandler
	Suspects SuspectHandler
	Links    GrantHandler
	// Load returns the load that is reported with the answers to forwarded requests.
	Load func() *peerpb.Load
}

// NewHandler returns the HTTP handler for messages from other entries.
func NewHandler(config HandlerConfig) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerpbconnect.NewPeerServiceHandler(&handler{config: config},
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompression(compression, nil, nil)))
	return mux
}

type handler struct {
	config HandlerConfig
}

var _ peerpbconnect.PeerServiceHandler = (*handler)(nil)

// Exchange implements peerpbconnect.PeerServiceHandler.
func (h *handler) Exchange(_ context.Context, request *connect.Request[peerpb.ExchangeRequest]) (*connect.Response[peerpb.ExchangeResponse], error) {
	return connect.NewResponse(h.config.Gossip.HandleExchange(request.Msg)), nil
}

// Probe implements peerpbconnect.PeerServiceHandler.
func (h *handler) Probe(ctx context.Context, request *connect.Request[peerpb.ProbeRequest]) (*connect.Response[peerpb.ProbeResponse], error) {
	return connect.NewResponse(h.config.Gossip.HandleProbe(ctx, request.Msg)), nil
}

// PushChanges implements peerpbconnect.PeerServiceHandler.
func (h *handler) PushChanges(ctx context.Context, request *connect.Request[peerpb.PushChangesRequest]) (*connect.Response[peerpb.PushChangesResponse], error) {
	return connect.NewResponse(h.config.Configuration.HandlePush(ctx, request.Msg, request.Msg.From)), nil
}

// PullConfiguration implements peerpbconnect.PeerServiceHandler.
func (h *handler) PullConfiguration(_ context.Context, request *connect.Request[peerpb.PullConfigurationRequest],
	stream *connect.ServerStream[peerpb.PullConfigurationResponse]) error {
	return h.config.Configuration.HandlePull(request.Msg, stream.Send)
}

// AcquireServers implements peerpbconnect.PeerServiceHandler.
func (h *handler) AcquireServers(_ context.Context, request *connect.Request[peerpb.AcquireServersRequest]) (*connect.Response[peerpb.AcquireServersResponse], error) {
	return connect.NewResponse(h.config.Owner.HandleAcquire(request.Msg)), nil
}

// Claim implements peerpbconnect.PeerServiceHandler.
func (h *handler) Claim(ctx context.Context, request *connect.Request[peerpb.ClaimRequest]) (*connect.Response[peerpb.ClaimResponse], error) {
	return connect.NewResponse(h.config.Claims.HandleClaim(ctx, request.Msg)), nil
}

// Settle implements peerpbconnect.PeerServiceHandler.
func (h *handler) Settle(_ context.Context, request *connect.Request[peerpb.SettleRequest]) (*connect.Response[peerpb.SettleResponse], error) {
	h.config.Claims.HandleSettle(request.Msg)
	return connect.NewResponse(&peerpb.SettleResponse{}), nil
}

// HandOverClaims implements peerpbconnect.PeerServiceHandler.
func (h *handler) HandOverClaims(_ context.Context, request *connect.Request[peerpb.HandOverClaimsRequest]) (*connect.Response[peerpb.HandOverClaimsResponse], error) {
	if err := h.config.Claims.HandleHandOver(request.Msg); err != nil {
		return nil, connect.NewError(connect.CodeAborted, err)
	}
	return connect.NewResponse(&peerpb.HandOverClaimsResponse{}), nil
}

// Summarize implements peerpbconnect.PeerServiceHandler.
func (h *handler) Summarize(ctx context.Context, request *connect.Request[peerpb.SummarizeRequest]) (*connect.Response[peerpb.SummarizeResponse], error) {
	return connect.NewResponse(h.config.Summary.HandleSummarize(ctx, request.Msg)), nil
}

// ShareSuspects implements peerpbconnect.PeerServiceHandler.
func (h *handler) ShareSuspects(ctx context.Context, request *connect.Request[peerpb.ShareSuspectsRequest]) (*connect.Response[peerpb.ShareSuspectsResponse], error) {
	h.config.Suspects.HandleSuspects(ctx, request.Msg)
	return connect.NewResponse(&peerpb.ShareSuspectsResponse{}), nil
}

// Grant implements peerpbconnect.PeerServiceHandler.
func (h *handler) Grant(_ context.Context, request *connect.Request[peerpb.GrantRequest]) (*connect.Response[peerpb.GrantResponse], error) {
	return connect.NewResponse(h.config.Links.HandleGrant(request.Msg)), nil
}
