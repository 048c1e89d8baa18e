package pollencrank

import (
	"errors"
	"fmt"
	"time"
)

// Reason is a machine-readable cause of a refusal or failure.
type Reason string

// Reasons that appear in answers, logs and traces.
const (
	ReasonNoRoute             Reason = "noRoute"
	ReasonMalformed           Reason = "malformedRequest"
	ReasonTooLarge            Reason = "requestTooLarge"
	ReasonKeyMissing          Reason = "idempotencyKeyMissing"
	ReasonKeyReused           Reason = "idempotencyKeyReused"
	ReasonKeyUnverifiable     Reason = "idempotencyKeyUnverifiable"
	ReasonKeyHomeUnreachable  Reason = "idempotencyHomeUnreachable"
	ReasonKeyTableFull        Reason = "idempotencyTableFull"
	ReasonAlreadyRun          Reason = "alreadyRun"
	ReasonAlreadyRunning      Reason = "alreadyRunning"
	ReasonQueueFull           Reason = "queueFull"
	ReasonDeadlineTooNear     Reason = "deadlineTooNear"
	ReasonDeadlinePassed      Reason = "deadlinePassed"
	ReasonNoServer            Reason = "noServer"
	ReasonAllShed             Reason = "allServersShed"
	ReasonRetryBudget         Reason = "retryBudgetSpent"
	ReasonCallerGone          Reason = "callerGone"
	ReasonServerUnreachable   Reason = "serverUnreachable"
	ReasonServerFailed        Reason = "serverFailed"
	ReasonAnswerTruncated     Reason = "answerTruncated"
	ReasonPeerUnreachable     Reason = "peerUnreachable"
	ReasonPeerFailed          Reason = "peerFailed"
	ReasonForwardedTwice      Reason = "forwardedTwice"
	ReasonStopping            Reason = "instanceStopping"
	ReasonLinkFull            Reason = "linkFull"
	ReasonSuspectedOfCrashing Reason = "suspectedOfCrashingServers"
	ReasonCrashesServers      Reason = "crashesServers"
	ReasonNotReady            Reason = "notReady"
	ReasonServerReplaced      Reason = "serverReplaced"
	ReasonAnswerMismatch      Reason = "answerOfAnotherRequest"
	ReasonTooManyConnections  Reason = "tooManyRequests"
	ReasonRouteUnreadable     Reason = "routeUnreadable"
	ReasonBodyTimeout         Reason = "bodyTimeout"
	ReasonBodyBroken          Reason = "bodyBrokeOff"
	ReasonBodiesFull          Reason = "noRoomForBodies"
)

// NotRunError says that a request certainly did not run on any backend server
// and will not run later. Repeating it is safe.
type NotRunError struct {
	Reason  Reason
	Detail  string
	RetryAt time.Time
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("not run: %s: %s", e.Reason, e.Detail)
}

// OutcomeUnknownError says that a request may have run on a backend server.
// Repeating it is safe only for idempotent work.
type OutcomeUnknownError struct {
	Reason  Reason
	Detail  string
	RetryAt time.Time
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: %s: %s", e.Reason, e.Detail)
}

// NotRun returns a NotRunError with a formatted detail.
func NotRun(reason Reason, format string, args ...any) *NotRunError {
	return &NotRunError{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// OutcomeUnknown returns an OutcomeUnknownError with a formatted detail.
func OutcomeUnknown(reason Reason, format string, args ...any) *OutcomeUnknownError {
	return &OutcomeUnknownError{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// IsNotRun reports whether err proves that the request did not run.
func IsNotRun(err error) bool {
	var notRun *NotRunError
	return errors.As(err, &notRun)
}

// Failure sums up the failed attempts of one request. If any of them may have
// run, so may the request.
type Failure struct {
	last    error
	unknown error
}

// Add records a failed attempt.
func (f *Failure) Add(err error) {
	f.last = err
	if !IsNotRun(err) && f.unknown == nil {
		f.unknown = err
	}
}

// Err returns the error of the whole request, or nil without an attempt.
func (f *Failure) Err() error {
	if f.unknown != nil {
		return f.unknown
	}
	return f.last
}
