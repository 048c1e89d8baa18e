// Package seeded sets a fixed seed for property tests of package rapid, so that
// every run checks the same cases, and keeps rapid from writing files about
// failures. Flags on the command line override both.
//
// # Usage
//
//	import _ "github.com/pollencrank/pollencrank/internal/seeded"
package seeded

import (
	"flag"

	// Package rapid registers the flags that are set here.
	_ "pgregory.net/rapid"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
