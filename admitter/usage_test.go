package admitter

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// What has not asked for long takes no memory.
func TestKindsAndTenantsAreForgotten(t *testing.T) {
	a, now := New(Config{Random: func() float64 { return 0 }}), time.Unix(0, 0)
	for i := range 100 {
		name := fmt.Sprint(i)
		a.Arrive(&Request{Service: "parts", Kind: name, Tenant: name, Work: time.Second, Deadline: now.Add(time.Second)}, now)
	}
	service := a.services["parts"]
	require.Len(t, service.kinds, 100)
	require.Len(t, service.tenants, 100)
	now = now.Add(2 * time.Minute)
	a.Standing(&Request{Service: "parts", Kind: "new", Tenant: "new"}, now)
	require.Len(t, service.kinds, 1)
	require.Len(t, service.tenants, 1)
}
