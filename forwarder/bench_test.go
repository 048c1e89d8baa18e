package forwarder_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/registrar"
	"github.com/pollencrank/pollencrank/router"
)

// BenchmarkForward measures forwarding of requests for a few hundred objects to servers
// that answer at once, for several numbers of servers of the service.
func BenchmarkForward(b *testing.B) {
	for _, count := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			s := newSystem(b)
			var servers []registrar.Server
			for i := range count {
				servers = append(servers, server(fmt.Sprintf("i-%010x", i), []string{"north", "south", "west"}[i%3]))
			}
			s.setServers(servers...)
			table := router.NewTable(router.Configuration{Services: map[string]router.Service{service: {Name: service, MaxConnections: 100}}})
			objects := make([]string, 300)
			for i := range objects {
				objects[i] = fmt.Sprint("object-", i)
			}
			deadline := time.Now().Add(time.Hour)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				answer, err := s.Forward(b.Context(), &forwarder.Call{
					Table: table, Route: &s.route, ObjectKey: objects[i%len(objects)],
					Request: &pollencrank.Request{ID: "r", Deadline: deadline, Method: "GET", Idempotent: true},
				})
				require.NoError(b, err)
				_ = answer.Body.Close()
			}
		})
	}
}
