package receiver

import (
	"crypto/tls"
	"net/http"

	"github.com/pollencrank/pollencrank/discerner"
)

// resetAborted returns a handler that resets the connection of an HTTP/1.0 caller if handler
// aborts the answer: net/http ends the connection in order, which marks the end of an answer
// without a length.
func resetAborted(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		isComplete := false
		defer func() {
			if !isComplete && !r.ProtoAtLeast(1, 1) {
				reset(w)
			}
		}()
		handler.ServeHTTP(w, r)
		isComplete = true
	})
}

// reset resets the connection of an answer. If it cannot be taken from net/http, it is left to
// that.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if secured, ok := conn.(*tls.Conn); ok {
		// Its Close would send the alert that ends the stream in order.
		conn = secured.NetConn()
	}
	_ = discerner.Reset(conn)
}
