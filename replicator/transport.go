package replicator

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/pollencrank/pollencrank/internal/newspb"
	"github.com/pollencrank/pollencrank/internal/newspb/newspbconnect"
)

const (
	// maxMessageBytes bounds one message: a configuration has a megabyte at most,
	// and thousands of servers take less.
	maxMessageBytes = 8 << 20
	// compressFrom is the length from which a message is compressed.
	compressFrom = 4 << 10
)

// Client asks other instances. It implements Peers.
type Client struct {
	self   string
	client connect.HTTPClient
}

// NewClient returns the client of the instance with an ID.
func NewClient(self string, client connect.HTTPClient) *Client {
	return &Client{self: self, client: client}
}

func (c *Client) to(address string) newspbconnect.NewsServiceClient {
	return newspbconnect.NewNewsServiceClient(c.client, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
}

// errEnded says that an instance ended its stream.
var errEnded = errors.New("the instance ended the stream")

// Follow implements Peers.
func (c *Client) Follow(ctx context.Context, address string, have Cursor, each func(Update) error) error {
	request := connect.NewRequest(&newspb.FollowRequest{From: c.self, Have: encodeHave(have), Version: have.Version})
	stream, err := c.to(address).Follow(ctx, request)
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
		news, err := decode(stream.Msg(), time.Now())
		if err != nil {
			return err
		}
		if err := each(news); err != nil {
			return err
		}
	}
	if err := stream.Err(); err != nil {
		return err
	}
	return errEnded
}

// Fetch implements Peers.
func (c *Client) Fetch(ctx context.Context, address string, have Cursor) (Update, error) {
	request := connect.NewRequest(&newspb.FetchRequest{From: c.self, Have: encodeHave(have), Version: have.Version})
	response, err := c.to(address).Fetch(ctx, request)
	if err != nil {
		return Update{}, err
	}
	return decode(response.Msg, time.Now())
}

// handler answers other instances.
type handler struct {
	newspbconnect.UnimplementedNewsServiceHandler
	replicator *Replicator
}

// Handler returns the path and the handler for the questions of other instances.
func (r *Replicator) Handler() (string, http.Handler) {
	return newspbconnect.NewNewsServiceHandler(&handler{replicator: r},
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(compressFrom))
}

// Follow implements newspbconnect.NewsServiceHandler.
func (h *handler) Follow(ctx context.Context, request *connect.Request[newspb.FollowRequest], stream *connect.ServerStream[newspb.News]) error {
	have := decodeHave(request.Msg.GetHave(), request.Msg.GetVersion())
	return h.replicator.Serve(ctx, have, func(news Update) error { return stream.Send(encode(news, time.Now())) })
}

// Fetch implements newspbconnect.NewsServiceHandler.
func (h *handler) Fetch(_ context.Context, request *connect.Request[newspb.FetchRequest]) (*connect.Response[newspb.News], error) {
	news, _ := h.replicator.Since(decodeHave(request.Msg.GetHave(), request.Msg.GetVersion()))
	return connect.NewResponse(encode(news, time.Now())), nil
}
