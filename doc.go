// Package pollencrank holds the core types of a global traffic steering
// system: ranks, workloads, backend servers, instances, configuration
// generations, and the errors that report whether a failed request may have
// run.
//
// The package contains no I/O. The logic is in sub-packages that are named
// after what they do (steerer, scheduler, balancer, gossiper, ...). Each kind of
// peer that the system communicates with has a sub-package of its own (receiver
// for callers, dispatcher for backend servers, forwarder for other entries,
// persister for the platform's store, administrator for operators).
//
// # Usage
//
// The runner package assembles an entry instance:
//
//	entry, err := runner.New(runner.Config{
//		Instance:      pollencrank.Instance{ID: "entry-1", FailureDomain: "north-1", Region: "north"},
//		CallerAddress: "127.0.0.1:8080",
//		PeerAddress:   "127.0.0.1:8081",
//		Store:         store,
//	})
//	if err != nil {
//		return err
//	}
//	return entry.Run(ctx)
//
// The other packages use the types of this one:
//
//	var notRun *pollencrank.NotRunError
//	if errors.As(err, &notRun) {
//		log.Printf("safe to repeat after %s: %s", notRun.RetryAt, notRun.Reason)
//	}
package pollencrank
