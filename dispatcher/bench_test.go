package dispatcher_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/platform"
	"github.com/pollencrank/pollencrank/platform/wire"
)

// BenchmarkSend measures one request and its answer on a kept connection.
func BenchmarkSend(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
		_, _ = io.WriteString(w, "done")
	}))
	defer server.Close()
	d := dispatcher.New(dispatcher.Config{Dialect: platform.Dialect{}})
	defer d.Close()
	target := dispatcher.Target{Name: "i-1", Address: strings.TrimPrefix(server.URL, "http://")}
	for b.Loop() {
		answer, err := d.Send(b.Context(), target, orderWithID("a"))
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
}
