package bootstrapper_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/bootstrapper"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/registrar"
	"github.com/pollencrank/pollencrank/router"
)

// BenchmarkSnapshot encodes and decodes what an instance of a fleet of 650 knows.
func BenchmarkSnapshot(b *testing.B) {
	const servers, instances, routes = 840, 650, 30
	var s bootstrapper.Snapshot
	for i := range servers {
		s.Servers = append(s.Servers, registrar.Server{
			ID: fmt.Sprintf("i-%010x", i), Service: "catalogue", Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250),
			FailureDomain: "north-a", Region: "north", Slots: 9, Incarnation: 1_767_998_446_785,
		})
	}
	for i := range instances {
		s.Instances = append(s.Instances, namer.Instance{
			ID: fmt.Sprintf("edge-north-a-%d", i), Incarnation: 1_767_998_446_785_000_000, FailureDomain: "north-a", Region: "north",
			CallerAddress: "10.1.0.40:8381", PeerAddress: "10.1.0.40:8382",
		})
	}
	for i := range routes {
		s.Configuration.Routes = append(s.Configuration.Routes, router.Route{
			Name: fmt.Sprintf("r-%d", i), Host: "a.example", PathPrefix: "/lookup/", Shares: []router.Share{{Service: "catalogue", Weight: 1}},
		})
	}
	size := 0
	for b.Loop() {
		var encoded bytes.Buffer
		require.NoError(b, bootstrapper.Encode(&encoded, s))
		size = encoded.Len()
		_, err := bootstrapper.Decode(&encoded, time.Now())
		require.NoError(b, err)
	}
	b.ReportMetric(float64(size), "bytes")
}
