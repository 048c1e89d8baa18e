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
	// maxMessageBytes bounds the size of one message: a configuration takes a
	// megabyte at most, and thousands of servers take less.
	maxMessageBytes = 8 << 20
	// compressFrom is the size in bytes from which a message is compressed.
	compressFrom = 4 << 10
)

// Client calls the replication service of other instances. It implements Peers.
type Client struct {
	self   string
	client connect.HTTPClient
}

// NewClient returns a client that sends the ID self as the origin of its calls.
func NewClient(self string, client connect.HTTPClient) *Client {
	return &Client{self: self, client: client}
}

func (c *Client) to(address string) newspbconnect.NewsServiceClient {
	return newspbconnect.NewNewsServiceClient(c.client, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
}

// errStreamEnded is returned when the other instance closes the stream without an
// error.
var errStreamEnded = errors.New("the other instance closed the stream")

// Follow implements Peers.
func (c *Client) Follow(ctx context.Context, address string, cursor Cursor, handle func(Update) error) error {
	request := connect.NewRequest(&newspb.FollowRequest{From: c.self, Have: encodeCursor(cursor), Version: cursor.Version})
	stream, err := c.to(address).Follow(ctx, request)
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
		update, err := decode(stream.Msg(), time.Now())
		if err != nil {
			return err
		}
		if err := handle(update); err != nil {
			return err
		}
	}
	if err := stream.Err(); err != nil {
		return err
	}
	return errStreamEnded
}

// Fetch implements Peers.
func (c *Client) Fetch(ctx context.Context, address string, cursor Cursor) (Update, error) {
	request := connect.NewRequest(&newspb.FetchRequest{From: c.self, Have: encodeCursor(cursor), Version: cursor.Version})
	response, err := c.to(address).Fetch(ctx, request)
	if err != nil {
		return Update{}, err
	}
	return decode(response.Msg, time.Now())
}

// handler serves the calls of other instances.
type handler struct {
	newspbconnect.UnimplementedNewsServiceHandler
	replicator *Replicator
}

// Handler returns the path and the handler for the calls of other instances.
func (r *Replicator) Handler() (string, http.Handler) {
	return newspbconnect.NewNewsServiceHandler(&handler{replicator: r},
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(compressFrom))
}

// Follow implements newspbconnect.NewsServiceHandler.
func (h *handler) Follow(ctx context.Context, request *connect.Request[newspb.FollowRequest], stream *connect.ServerStream[newspb.News]) error {
	cursor := decodeCursor(request.Msg.GetHave(), request.Msg.GetVersion())
	return h.replicator.Serve(ctx, cursor, func(update Update) error { return stream.Send(encode(update, time.Now())) })
}

// Fetch implements newspbconnect.NewsServiceHandler.
func (h *handler) Fetch(_ context.Context, request *connect.Request[newspb.FetchRequest]) (*connect.Response[newspb.News], error) {
	update, _ := h.replicator.Since(decodeCursor(request.Msg.GetHave(), request.Msg.GetVersion()))
	return connect.NewResponse(encode(update, time.Now())), nil
}
