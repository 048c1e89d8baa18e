package forwarder

import (
	"log/slog"
	"time"

	"github.com/pollencrank/pollencrank/registrar"
	"github.com/pollencrank/pollencrank/selector"
)

// Course says what the decisions about a call were based on, for its last attempt, and
// when it was sent.
type Course struct {
	// FirstSentAt and SentAt are when the first and the last attempt began. They are zero
	// if there was none.
	FirstSentAt time.Time
	SentAt      time.Time
	EndedAt     time.Time
	Attempts    int
	// Region is the region of the last server.
	Region string
	// Through is the instance that has sent the request on, if this one was cut off from
	// the servers.
	Through string
	// Usual is the usual service time of such requests for an object that a server has
	// served recently.
	Usual  time.Duration
	Option selector.Option
	Choice selector.Choice
}

// decision is the choice of a server for one attempt.
type decision struct {
	backend *registrar.Backend
	usual   time.Duration
	option  selector.Option
	choice  selector.Choice
}

// begin records an attempt that is about to be sent.
func (c *Course) begin(d decision, now time.Time) {
	if c.Attempts == 0 {
		c.FirstSentAt = now
	}
	c.Attempts++
	c.SentAt = now
	c.Region = d.backend.Server().Region
	c.Usual, c.Option, c.Choice = d.usual, d.option, d.choice
}

// Attributes returns the parts of the time of an answered call that began at started, as
// attributes of a log line. Times are texts of time.Duration.
func (c *Course) Attributes(started time.Time) []any {
	if c.Through != "" {
		return []any{slog.Int("attempts", c.Attempts), slog.String("through", c.Through)}
	}
	if c.Attempts == 0 {
		return nil
	}
	duration := func(name string, d time.Duration) slog.Attr {
		return slog.String(name, d.Round(time.Microsecond).String())
	}
	return []any{
		slog.Int("attempts", c.Attempts), slog.String("serverRegion", c.Region),
		duration("entryTime", c.FirstSentAt.Sub(started)),
		duration("earlierAttempts", c.SentAt.Sub(c.FirstSentAt)),
		duration("lastAttempt", c.EndedAt.Sub(c.SentAt)),
		duration("distance", c.Option.Distance), duration("usual", c.Usual), duration("expectedQueue", c.Choice.Wait),
		slog.Float64("slowness", c.Option.Slowness), slog.Bool("servedObject", c.Option.ServedObject),
	}
}
