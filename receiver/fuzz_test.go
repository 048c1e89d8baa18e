package receiver_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/receiver"
)

func BenchmarkLookupHandler(b *testing.B) {
	view := newView(b)
	handler := receiver.New(receiver.Config{Instance: "entry-1", View: func() *receiver.View { return view }})
	request := httptest.NewRequest(http.MethodGet, receiver.LookupPath+"?workload=catalogue", nil)
	request.RemoteAddr = "127.0.0.1:4000"
	b.ReportAllocs()
	for b.Loop() {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
	}
}

func FuzzRequest(f *testing.F) {
	view := newView(f)
	handler := receiver.New(receiver.Config{
		Instance: "entry-1", View: func() *receiver.View { return view },
		Executor: pollencrank.ExecutorFunc(func(context.Context, *pollencrank.Request) (*pollencrank.Answer, error) { return respond("ok") }),
	})
	f.Add("GET", "/catalogue/1", "ordinary", "100", "k", "198.51.100.9")
	f.Add("POST", "/orders/1", "", "", "", ",")
	f.Fuzz(func(t *testing.T, method, path, rank, timeout, key, forwarded string) {
		if !strings.HasPrefix(path, "/") {
			return
		}
		request, err := http.NewRequest(method, "http://x/", nil)
		if err != nil {
			return
		}
		request.URL.Path, request.RequestURI, request.RemoteAddr = path, path, "127.0.0.1:4000"
		request.Header = http.Header{receiver.HeaderRank: {rank}, receiver.HeaderTimeout: {timeout}, receiver.HeaderIdempotencyKey: {key}, "X-Forwarded-For": {forwarded}}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		require.GreaterOrEqual(t, recorder.Code, 200)
	})
}
