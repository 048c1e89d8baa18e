// Command harness plays the scripted cases of the review: it starts the project's own
// program as separate processes on loopback addresses, with stand-ins for the store, the
// backend servers and the clients, and checks one rule from what these have seen.
//
// Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// Exit statuses.
const (
	statusHeld     = 0
	statusBroken   = 1
	statusNotRun   = 2
	argumentsCount = 3
)

func main() { os.Exit(run()) }

func run() int {
	cases := map[string]struct {
		site site
		play func(f *fleet, withTrouble bool) (bool, error)
	}{
		"upload-crash":    {dshGslb, playUploadCrash},
		"late-refusal":    {lppcGrid, playLateRefusal},
		"early-refusal":   {dshGslb, playEarlyRefusal},
		"broken-download": {lppcGrid, playBrokenDownload},
	}
	if len(os.Args) != argumentsCount || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return statusNotRun
	}
	chosen := cases[os.Args[1]]
	f, err := newFleet(os.Args[2], chosen.site)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer f.close()
	go f.closeOnSignal()
	isBroken, err := chosen.play(f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		f.record("the case could not run: %v", err)
		return statusNotRun
	case isBroken:
		f.record("RESULT: the rule was broken")
		return statusBroken
	}
	f.record("RESULT: the rule held")
	return statusHeld
}
