package pollencrank

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Reason is the machine-readable cause of a refusal or a failure.
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
	ReasonServerLimit         Reason = "serverLimit"
	ReasonServerPaused        Reason = "serverPaused"
	ReasonRetryBudget         Reason = "retryBudgetSpent"
	ReasonCallerGone          Reason = "callerGone"
	ReasonServerUnreachable   Reason = "serverUnreachable"
	ReasonServerFailed        Reason = "serverFailed"
	ReasonAnswerTruncated     Reason = "answerTruncated"
	ReasonPeerUnreachable     Reason = "peerUnreachable"
	ReasonPeerFailed          Reason = "peerFailed"
	ReasonCutOff              Reason = "cutOffFromServers"
	ReasonReroutedFull        Reason = "noRoomForRerouted"
	ReasonForwardedTwice      Reason = "forwardedTwice"
	ReasonStopping            Reason = "instanceStopping"
	ReasonLinkFull            Reason = "linkFull"
	ReasonSuspectedOfCrashing Reason = "suspectedOfCrashingServers"
	ReasonCrashesServers      Reason = "crashesServers"
	ReasonNotReady            Reason = "notReady"
	ReasonServerReplaced      Reason = "serverReplaced"
	ReasonAnswerMismatch      Reason = "answerOfAnotherRequest"
	ReasonRefusalUnproven     Reason = "refusalWithoutProof"
	ReasonTooManyConnections  Reason = "tooManyRequests"
	ReasonRouteUnreadable     Reason = "routeUnreadable"
	ReasonBodyTimeout         Reason = "bodyTimeout"
	ReasonBodyBroken          Reason = "bodyBrokeOff"
	ReasonBodiesFull          Reason = "noRoomForBodies"
	ReasonUnknownKey          Reason = "unknownKey"
	ReasonTenantUnreadable    Reason = "tenantUnreadable"
	ReasonQuotaSpent          Reason = "quotaSpent"
	ReasonQuotaUnreachable    Reason = "quotaHoldersUnreachable"
	ReasonAnswerInvalid       Reason = "invalidAnswer"
)

// NotRunError reports that a request did not run on any backend server and will
// not run later. It is safe to repeat the request.
type NotRunError struct {
	Reason  Reason
	Detail  string
	RetryAt time.Time
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("not run: %s: %s", e.Reason, e.Detail)
}

// OutcomeUnknownError reports that a request may have run on a backend server.
// It is safe to repeat the request only if it is idempotent.
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

// IsNotRun reports whether err is a NotRunError or wraps one.
func IsNotRun(err error) bool {
	var notRun *NotRunError
	return errors.As(err, &notRun)
}

// PromisesNotRun reports whether callers take the status of an answer for a promise that
// the request has not run and never will. Servers prove it otherwise.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Failure combines the errors of the failed attempts of a request. If any
// attempt may have run, the request may have run.
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

// Err returns the error of the whole request: the first error that leaves the
// outcome unknown, or else the last error. It returns nil if there was no failed
// attempt.
func (f *Failure) Err() error {
	if f.unknown != nil {
		return f.unknown
	}
	return f.last
}
