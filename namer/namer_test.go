package namer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/namer"
)

func instance(id, domain, region string) namer.Instance {
	return namer.Instance{ID: id, FailureDomain: domain, Region: region}
}

func TestChoose(t *testing.T) {
	all := []namer.Instance{
		instance("a1", "north-a", "north"), instance("a2", "north-a", "north"), instance("b1", "north-b", "north"),
		instance("c1", "south-c", "south"),
	}
	for name, test := range map[string]struct {
		instances []namer.Instance
		caller    namer.Caller
		want      []string
	}{
		"enough in the domain":      {all, namer.Caller{Region: "north", FailureDomain: "north-a"}, []string{"a1", "a2"}},
		"too few in the domain":     {all, namer.Caller{Region: "north", FailureDomain: "north-b"}, []string{"a1", "a2", "b1"}},
		"one in the region":         {all, namer.Caller{Region: "south", FailureDomain: "south-d"}, []string{"c1"}},
		"none in the region":        {all[:3], namer.Caller{Region: "south", FailureDomain: "south-c"}, []string{"a1", "a2", "b1"}},
		"no location of the caller": {all, namer.Caller{}, []string{"a1", "a2", "b1", "c1"}},
		"no instances":              {nil, namer.Caller{Region: "north"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, i := range namer.Choose(test.instances, test.caller) {
				got = append(got, i.ID)
			}
			require.Equal(t, test.want, got)
		})
	}
}

func TestChooseNamesNoMoreThanCallersRead(t *testing.T) {
	var many []namer.Instance
	for i := range 200 {
		many = append(many, instance(fmt.Sprintf("i%03d", i), "north-a", "north"))
	}
	require.Len(t, namer.Choose(many, namer.Caller{Region: "north", FailureDomain: "north-a"}), namer.MaxNamed)
}
