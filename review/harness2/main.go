// Command harness2 plays the scripted cases of the second review: it starts a store, upstreams and
// clients that follow the users' pages, and the entries as the deploy file does.
//
//	harness2 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
// TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit is how long a case may take.
const limit = 115 * time.Second

// outcome is what a case has found.
type outcome struct {
	isBroken bool
	text     string
}

var cases = map[string]func(r *rig, hasTrouble bool) (outcome, error){
	"poison-restart": poisonRestart,
	"poison-upload":  poisonUpload,
	"poison-answer":  poisonAnswer,
	"slow-reader":    slowReader,
	"directory":      directoryNames,
	"gone-many":      goneMany,
	"gone-behind":    goneBehindLong,
	"first-long":     firstLong,
	"slow-drain":     slowDrain,
	"slow-answer":    slowAnswer,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit status.
func play(name, recordPath string) int {
	r, err := newRig(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	type result struct {
		outcome
		err error
	}
	done := make(chan result, 1)
	go func() {
		found, err := cases[name](r, os.Getenv("TROUBLE") != "0")
		done <- result{found, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case got := <-done:
		if got.err != nil {
			r.say("the case could not run: %v", got.err)
			fmt.Println("could not run:", got.err)
			return 2
		}
		r.say("%s", got.text)
		fmt.Println(got.text)
		if got.isBroken {
			return 1
		}
		return 0
	case <-time.After(limit):
		r.say("the case took too long")
	case <-signals:
		r.say("the case was stopped")
	}
	return 2
}
