package narrator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pollencrank/pollencrank/recorder"
)

// Cause is a part of the time of a request.
type Cause int

// Causes, in the order in which a request meets them.
const (
	// CauseEntry is the time until the first attempt.
	CauseEntry Cause = iota
	// CauseEarlierAttempts is the time of attempts before the last one.
	CauseEarlierAttempts
	// CauseDistance is the round-trip time to the last server.
	CauseDistance
	// CauseUsual is the usual service time.
	CauseUsual
	// CauseQueue is the expected wait in the server's queue.
	CauseQueue
	// CauseSlowServer is the expected excess of a slow server.
	CauseSlowServer
	// CauseNewObject is the excess at a server that was not expected to know the object.
	CauseNewObject
	// CauseUnexpected is the excess that the decision did not expect.
	CauseUnexpected
	// CauseOtherInstance is the whole time of a request that went through another instance,
	// because its own was cut off from the servers.
	CauseOtherInstance

	causeCount
)

// String returns the heading of a cause.
func (c Cause) String() string {
	return [causeCount]string{
		"entry", "earlier attempts", "distance", "usual", "queue", "slow server", "new object", "unexpected", "other instance",
	}[c]
}

// Parts is the time of a request, or the sum of the times of many, by cause.
type Parts [causeCount]time.Duration

func (p *Parts) add(other Parts) {
	for i := range p {
		p[i] += other[i]
	}
}

// AccountRow sums up the requests of one route or second.
type AccountRow struct {
	Name     string
	Answered int
	// Late counts the answers after the route's latency objective.
	Late int
	// Refused counts requests that no server answered.
	Refused int
	// All and OfLate are the sums over all answers and over the late ones.
	All, OfLate Parts
	// MainCauses counts the late answers by their largest avoidable part.
	MainCauses [causeCount]int
	// Refusals counts Refused by reason.
	Refusals map[string]int
}

// Account says where the time of the requests in logs went. Answered requests are a
// sample, refused ones are complete; see --log-every of pollencrankd.
type Account struct {
	Total   AccountRow
	Routes  []AccountRow
	Regions []AccountRow
	Seconds []AccountRow
}

// secondFormat is the format of the names of Account.Seconds.
const secondFormat = "15:04:05"

// NewAccount returns the account of the requests that lines are about. Regions are those
// that regionOf returns for the source of a line.
func NewAccount(lines []Line, regionOf func(source string) string) Account {
	a := Account{Total: AccountRow{Name: "total", Refusals: map[string]int{}}}
	routes, regions, seconds := map[string]*AccountRow{}, map[string]*AccountRow{}, map[string]*AccountRow{}
	for _, l := range lines {
		rows := []*AccountRow{&a.Total, rowOf(routes, l.text("route")), rowOf(regions, regionOf(l.Source)), rowOf(seconds, l.At.Format(secondFormat))}
		switch l.Event {
		case recorder.EventRequestFinished.String():
			addAnswer(rows, l)
		case recorder.EventRequestRefused.String(), recorder.EventOutcomeUnknown.String():
			addRefusal(rows, l)
		}
	}
	a.Routes, a.Regions, a.Seconds = sortedRows(routes), sortedRows(regions), sortedRows(seconds)
	return a
}

func rowOf(rows map[string]*AccountRow, name string) *AccountRow {
	if rows[name] == nil {
		rows[name] = &AccountRow{Name: name, Refusals: map[string]int{}}
	}
	return rows[name]
}

func sortedRows(rows map[string]*AccountRow) []AccountRow {
	var sorted []AccountRow
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		if row := rows[name]; row.Answered+row.Refused > 0 {
			sorted = append(sorted, *row)
		}
	}
	return sorted
}

func addAnswer(rows []*AccountRow, l Line) {
	parts := partsOf(l)
	objective := l.duration("objective")
	isLate := objective > 0 && l.duration("took") > objective
	for _, row := range rows {
		row.Answered++
		row.All.add(parts)
		if isLate {
			row.Late++
			row.OfLate.add(parts)
			row.MainCauses[parts.mainCause()]++
		}
	}
}

func addRefusal(rows []*AccountRow, l Line) {
	reason := reasonOf(l.text("error"))
	for _, row := range rows {
		row.Refused++
		row.Refusals[reason]++
	}
}

// reasonOf returns the outcome and the reason of an error's text, without its details.
func reasonOf(text string) string {
	const outcomeAndReason = 2
	parts := strings.SplitN(text, ": ", outcomeAndReason+1)
	return strings.Join(parts[:min(len(parts), outcomeAndReason)], ": ")
}

// partsOf splits the time of an answered request. What the last attempt took beyond
// distance and usual service time is first explained by the expected queue, then by the
// slowness of the server, then by an object that is new to it.
func partsOf(l Line) Parts {
	var p Parts
	if l.text("through") != "" {
		p[CauseOtherInstance] = l.duration("took")
		return p
	}
	p[CauseEntry] = l.duration("entryTime")
	p[CauseEarlierAttempts] = l.duration("earlierAttempts")
	usual := l.duration("usual")
	rest := l.duration("lastAttempt")
	take := func(c Cause, d time.Duration) {
		p[c] = min(max(d, 0), rest)
		rest -= p[c]
	}
	take(CauseDistance, l.duration("distance"))
	take(CauseUsual, usual)
	take(CauseQueue, l.duration("expectedQueue"))
	take(CauseSlowServer, time.Duration((l.number("slowness")-1)*float64(usual)))
	if known, _ := l.Attributes["servedObject"].(bool); !known {
		take(CauseNewObject, rest)
	}
	take(CauseUnexpected, rest)
	return p
}

// mainCause returns the largest part other than the usual service time.
func (p Parts) mainCause() Cause {
	main := CauseEntry
	for c := range causeCount {
		if c != CauseUsual && p[c] > p[main] {
			main = c
		}
	}
	return main
}

func (l Line) text(name string) string {
	text, _ := l.Attributes[name].(string)
	return text
}

// duration returns an attribute that holds a text of time.Duration, or zero.
func (l Line) duration(name string) time.Duration {
	d, err := time.ParseDuration(l.text(name))
	if err != nil {
		return 0
	}
	return d
}

func (l Line) number(name string) float64 {
	n, _ := l.Attributes[name].(json.Number)
	value, err := n.Float64()
	if err != nil {
		return 0
	}
	return value
}

// Write writes the account as tables: the mean time of all and of late answers by cause,
// and the late answers by main cause.
func (a Account) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, part := range []struct {
		heading string
		rows    []AccountRow
	}{{"route", a.Routes}, {"entries' region", a.Regions}, {"second", a.Seconds}, {"", []AccountRow{a.Total}}} {
		a.writeHead(table, part.heading)
		for _, row := range part.rows {
			row.write(table)
		}
		fmt.Fprintln(table)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write account: %w", err)
	}
	return a.writeRefusals(w)
}

func (a Account) writeHead(w io.Writer, heading string) {
	fmt.Fprintf(w, "%s\tanswered\tlate\trefused\tmean ms", heading)
	for c := range causeCount {
		fmt.Fprintf(w, "\t%s", c)
	}
	fmt.Fprint(w, "\tlate by")
	for c := range causeCount {
		if c != CauseUsual {
			fmt.Fprintf(w, "\t%s", c)
		}
	}
	fmt.Fprintln(w, "\t")
}

func (r AccountRow) write(w io.Writer) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d", r.Name, r.Answered, r.Late, r.Refused)
	var total time.Duration
	for _, d := range r.All {
		total += d
	}
	fmt.Fprintf(w, "\t%.0f", mean(total, r.Answered))
	for _, d := range r.All {
		fmt.Fprintf(w, "\t%.0f", mean(d, r.Answered))
	}
	fmt.Fprint(w, "\t")
	for c := range causeCount {
		if c != CauseUsual {
			fmt.Fprintf(w, "\t%d", r.MainCauses[c])
		}
	}
	fmt.Fprintln(w, "\t")
}

// mean returns the mean of a sum in milliseconds.
func mean(sum time.Duration, count int) float64 {
	if count == 0 {
		return 0
	}
	return float64(sum.Microseconds()) / 1000 / float64(count)
}

func (a Account) writeRefusals(w io.Writer) error {
	type refusal struct {
		reason string
		count  int
	}
	var refusals []refusal
	for reason, count := range a.Total.Refusals {
		refusals = append(refusals, refusal{reason, count})
	}
	slices.SortFunc(refusals, func(a, b refusal) int {
		return cmp.Or(cmp.Compare(b.count, a.count), strings.Compare(a.reason, b.reason))
	})
	for _, r := range refusals {
		if _, err := fmt.Fprintf(w, "%6d not answered by a server: %s\n", r.count, r.reason); err != nil {
			return fmt.Errorf("write account: %w", err)
		}
	}
	return nil
}
