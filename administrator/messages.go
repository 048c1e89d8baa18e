package administrator

import (
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/acceptor"
	"github.com/pollencrank/pollencrank/parser"
)

// Liveness is the response of /livez.
type Liveness struct {
	Alive bool `json:"alive"`
}

// Readiness is the response of /readyz.
type Readiness struct {
	Ready bool `json:"ready"`
}

// Member is an instance in a Status.
type Member struct {
	ID            string `json:"id"`
	State         string `json:"state"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	CallerAddress string `json:"callerAddress"`
	// Generation is the generation in force at the member, or 0 if the member
	// did not answer.
	Generation pollencrank.Generation `json:"generation"`
	Reached    bool                   `json:"reached"`
	Running    bool                   `json:"running"`
}

// Server is a backend server in a Status. InFlight is set only if Local is: only
// the owner of a server counts the requests that it runs.
type Server struct {
	Name          string `json:"name"`
	Workload      string `json:"workload"`
	FailureDomain string `json:"failureDomain"`
	Owner         string `json:"owner"`
	Local         bool   `json:"local"`
	InFlight      int    `json:"inFlight"`
	// Reported is the server's latest health report. Only the owner receives it.
	Reported *Report `json:"reported,omitempty"`
}

// Report is a server's latest response to a health probe.
type Report struct {
	OK bool `json:"ok"`
	// Load is the number of running requests that the server reports, or -1 if
	// it reports none.
	Load int       `json:"load"`
	At   time.Time `json:"at"`
}

// Status is the response of /v1/status.
type Status struct {
	Instance          Member                 `json:"instance"`
	Ready             bool                   `json:"ready"`
	StoreDown         bool                   `json:"storeDown"`
	Generation        pollencrank.Generation `json:"generation"`
	PresetInForce     string                 `json:"presetInForce"`
	InForceEverywhere bool                   `json:"inForceEverywhere"`
	Drains            []pollencrank.Drain    `json:"drains"`
	Members           []Member               `json:"members"`
	Servers           []Server               `json:"servers"`
}

// Document is the response of GET /v1/configuration.
type Document struct {
	Generation    pollencrank.Generation    `json:"generation"`
	Configuration pollencrank.Configuration `json:"configuration"`
}

// Change holds the fields that every proposed change has.
type Change struct {
	// OperationID identifies the change, so that a repeated call is not
	// accepted twice.
	OperationID string `json:"operationID"`
	Author      string `json:"author"`
	// Expect is the generation that the operator saw; 0 accepts any.
	Expect pollencrank.Generation `json:"expect"`
}

// ReplaceChange is the body of PUT /v1/configuration.
type ReplaceChange struct {
	Change
	Configuration pollencrank.Configuration `json:"configuration"`
}

// PresetChange is the body of POST /v1/preset.
type PresetChange struct {
	Change
	Preset string `json:"preset"`
}

// DrainChange is the body of POST /v1/drain and /v1/undrain.
type DrainChange struct {
	Change
	Target   pollencrank.DrainTarget `json:"target"`
	Start    time.Time               `json:"start"`
	Deadline time.Time               `json:"deadline"`
	// Force accepts a drain that leaves too little capacity.
	Force bool `json:"force,omitempty"`
}

// RollbackChange is the body of POST /v1/rollback.
type RollbackChange struct {
	Change
	Generation pollencrank.Generation `json:"generation"`
}

// PreviewRequest is the body of POST /v1/preview. At most one of Configuration,
// Preset and Drain is set. Without any, the preview shows the plans that follow
// without a change.
type PreviewRequest struct {
	Configuration *pollencrank.Configuration `json:"configuration,omitempty"`
	Preset        string                     `json:"preset,omitempty"`
	Drain         *pollencrank.Drain         `json:"drain,omitempty"`
}

// Explanation is the response of /v1/explain: why a caller is steered to its
// region and entries.
type Explanation struct {
	Generation pollencrank.Generation `json:"generation"`
	Instance   string                 `json:"instance"`
	Caller     string                 `json:"caller"`
	Workload   string                 `json:"workload"`
	// Location is empty for a caller that is in no client block.
	Location string `json:"location,omitempty"`
	// CallersRegion is the region nearest to the caller.
	CallersRegion string   `json:"callersRegion"`
	Entries       []string `json:"entries"`
	// Region serves the caller now.
	Region string `json:"region,omitempty"`
	// Shares are the plan's shares for this workload and the caller's nearest
	// region.
	Shares  []ShareNow               `json:"shares,omitempty"`
	Plan    uint64                   `json:"plan,omitempty"`
	Reasons []pollencrank.PlanReason `json:"reasons,omitempty"`
}

// ShareNow is a share of the plan in force, with its current value.
type ShareNow struct {
	Region  string    `json:"region"`
	Now     float64   `json:"now"`
	After   float64   `json:"after"`
	Reached time.Time `json:"reached"`
}

// ProblemKind classifies a failed call.
type ProblemKind string

// Kinds of problems.
const (
	ProblemCredential ProblemKind = "credential"
	ProblemMalformed  ProblemKind = "malformed"
	ProblemNotFound   ProblemKind = "notFound"
	ProblemRace       ProblemKind = "race"
	ProblemFaults     ProblemKind = "faults"
	ProblemStore      ProblemKind = "storeUnavailable"
	ProblemUnknown    ProblemKind = "outcomeUnknown"
	ProblemDrain      ProblemKind = "drainRefused"
	ProblemNotKept    ProblemKind = "notKept"
	ProblemInternal   ProblemKind = "internal"
)

// Problem is the body of a failed call.
type Problem struct {
	Kind    ProblemKind        `json:"kind"`
	Message string             `json:"message"`
	Winner  *acceptor.Accepted `json:"winner,omitempty"`
	Faults  parser.Faults      `json:"faults,omitempty"`
	// EarliestStart is the earliest start at which a refused drain would be
	// accepted.
	EarliestStart *time.Time `json:"earliestStart,omitempty"`
}
