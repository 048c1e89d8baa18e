package demonstrator

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pollencrank/pollencrank"
)

// Row holds the outcomes and latencies of the requests of one rank in one phase, as
// callers saw them.
type Row struct {
	Phase   string        `json:"phase"`
	Rank    string        `json:"rank"`
	Offered int           `json:"offered"`
	Served  int           `json:"served"`
	NotRun  int           `json:"notRun"`
	Unknown int           `json:"unknown"`
	P50     time.Duration `json:"p50"`
	P99     time.Duration `json:"p99"`
	Max     time.Duration `json:"max"`
}

// Promise is a promise of the brief with the number of times it was broken.
type Promise struct {
	Promise    string `json:"promise"`
	Violations int    `json:"violations"`
	// Detail describes how the promise was checked, with an example of a violation.
	Detail string `json:"detail,omitempty"`
}

// Step is one action of the demonstration and its result.
type Step struct {
	At     time.Duration `json:"at"`
	What   string        `json:"what"`
	Result string        `json:"result"`
}

// Report is the result of a demonstration.
type Report struct {
	User     string                     `json:"user"`
	Seed     uint64                     `json:"seed"`
	Steps    []Step                     `json:"steps"`
	Rows     []Row                      `json:"rows"`
	Promises []Promise                  `json:"promises"`
	Reasons  map[pollencrank.Reason]int `json:"reasons"`
	Lookups  int                        `json:"lookups"`
	Orders   int                        `json:"orders"`
	Runs     int                        `json:"runs"`
}

// Violations returns the number of broken promises.
func (r *Report) Violations() int {
	sum := 0
	for _, p := range r.Promises {
		sum += p.Violations
	}
	return sum
}

// Write writes the report as tables.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "\n%s, seed %d: %d requests ran on backend servers, %d orders, %d look-ups\n\n", r.User, r.Seed, r.Runs, r.Orders, r.Lookups)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "phase\trank\toffered\tserved\tnot run\tunknown\tp50\tp99\tmax\t")
	for _, row := range r.Rows {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n", row.Phase, row.Rank, row.Offered, row.Served,
			row.NotRun, row.Unknown, round(row.P50), round(row.P99), round(row.Max))
	}
	_ = table.Flush()
	fmt.Fprintln(w)
	table = tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "promise\tviolations\tchecked by")
	for _, p := range r.Promises {
		fmt.Fprintf(table, "%s\t%d\t%s\n", p.Promise, p.Violations, p.Detail)
	}
	_ = table.Flush()
}

func round(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
