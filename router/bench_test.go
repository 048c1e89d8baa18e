package router_test

import (
	"fmt"
	"testing"

	"github.com/pollencrank/pollencrank/router"
)

func makeRoutes(count int) router.Configuration {
	c := router.Configuration{}
	for i := range count {
		c.Routes = append(c.Routes, router.Route{
			Name: fmt.Sprint("r-", i), Host: fmt.Sprintf("h%d.example", i%3), PathPrefix: fmt.Sprintf("/area%d/part%d/", i%17, i),
			Shares: []router.Share{{Service: "parts", Weight: 1}},
		})
	}
	return c
}

// BenchmarkMatch finds the route of a request in tables of different sizes.
func BenchmarkMatch(b *testing.B) {
	for _, count := range []int{10, 1000, 10_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			c := makeRoutes(count)
			table := router.NewTable(c)
			paths := make([]string, count)
			for i := range paths {
				paths[i] = c.Routes[i].PathPrefix + "x/1"
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				if table.Match(c.Routes[i%count].Host, paths[i%count]) == nil {
					b.Fatal("no route")
				}
			}
		})
	}
}

// BenchmarkNewTable builds the table of a configuration.
func BenchmarkNewTable(b *testing.B) {
	for _, count := range []int{10, 1000, 10_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			c := makeRoutes(count)
			for b.Loop() {
				router.NewTable(c)
			}
		})
	}
}
