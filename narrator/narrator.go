// Package narrator assembles the timeline of one request from the logs of many
// instances.
//
// A log consists of JSON lines, each with the time, the event and its attributes. The
// last word before the first brace of a line is taken as the name of its source, so that
// logs that were collected with a prefix can be read unchanged. Besides the lines that
// name the request, the timeline has lines from shortly before and during the request
// that name no request: events of the request's servers, such as changes of their state,
// and events that name no server.
//
// # Usage
//
//	lines, err := narrator.Read("entry-1.log", file)
//	timeline := narrator.NewTimeline(lines, "9c41d07be2a35f68")
//	err = timeline.Write(os.Stdout)
package narrator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"
)

const (
	// contextBefore is the time before a request's first line from which events that
	// do not name the request are part of its timeline.
	contextBefore = 5 * time.Second
	// maxLineBytes limits the length of a line of a log.
	maxLineBytes = 1 << 20
)

// Line is one line of a log.
type Line struct {
	At time.Time
	// Source is the name of the log or instance that the line is from.
	Source  string
	Event   string
	Message string
	// Request is the ID of the request that the line names, if any.
	Request    string
	Attributes map[string]any
}

// Timeline holds the lines about one request in order of time.
type Timeline struct {
	Request string
	Lines   []Line
}

// Read reads a log. Lines that are not JSON or have no valid time are skipped and
// counted.
func Read(name string, log io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(name, scanner.Text())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, skipped, fmt.Errorf("read log %s: %w", name, err)
	}
	return lines, skipped, nil
}

func parse(name, text string) (Line, bool) {
	brace := strings.IndexByte(text, '{')
	if brace < 0 {
		return Line{}, false
	}
	var attributes map[string]any
	decoder := json.NewDecoder(strings.NewReader(text[brace:]))
	decoder.UseNumber()
	if err := decoder.Decode(&attributes); err != nil {
		return Line{}, false
	}
	line := Line{Source: name, Attributes: attributes}
	if prefix := strings.Fields(text[:brace]); len(prefix) > 0 {
		line.Source = prefix[len(prefix)-1]
	}
	at, err := time.Parse(time.RFC3339Nano, take(attributes, "time"))
	if err != nil {
		return Line{}, false
	}
	line.At = at
	line.Event = take(attributes, "event")
	line.Message = take(attributes, "msg")
	line.Request = take(attributes, "request")
	delete(attributes, "level")
	return line, true
}

// take removes an attribute and returns it, or "" if it is not a string.
func take(attributes map[string]any, name string) string {
	text, _ := attributes[name].(string)
	delete(attributes, name)
	return text
}

// NewTimeline returns the timeline of a request. It is empty if no line names the
// request.
func NewTimeline(lines []Line, request string) Timeline {
	timeline := Timeline{Request: request}
	servers := map[string]bool{}
	var first, last time.Time
	for _, l := range lines {
		if l.Request != request {
			continue
		}
		if first.IsZero() || l.At.Before(first) {
			first = l.At
		}
		if l.At.After(last) {
			last = l.At
		}
		for _, server := range l.servers() {
			servers[server] = true
		}
	}
	if first.IsZero() {
		return timeline
	}
	for _, l := range lines {
		isNear := !l.At.Before(first.Add(-contextBefore)) && !l.At.After(last)
		if l.Request == request || (l.Request == "" && isNear && l.concerns(servers)) {
			timeline.Lines = append(timeline.Lines, l)
		}
	}
	slices.SortStableFunc(timeline.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return timeline
}

// serverName matches the servers that an error message names.
var serverName = regexp.MustCompile(`server ([^\s:]+)`)

// servers returns the servers that a line names.
func (l Line) servers() []string {
	var servers []string
	if server, ok := l.Attributes["server"].(string); ok {
		servers = append(servers, server)
	}
	if text, ok := l.Attributes["error"].(string); ok {
		for _, match := range serverName.FindAllStringSubmatch(text, -1) {
			servers = append(servers, match[1])
		}
	}
	return servers
}

// concerns reports whether a line names one of the servers, or is an event that names
// no server.
func (l Line) concerns(servers map[string]bool) bool {
	named := l.servers()
	if len(named) == 0 {
		return l.Event != ""
	}
	return slices.ContainsFunc(named, func(server string) bool { return servers[server] })
}

// Write prints the timeline, one log line per line, with the attributes sorted by name.
// Lines that name the request are marked with an asterisk.
func (t Timeline) Write(w io.Writer) error {
	for _, l := range t.Lines {
		mark := " "
		if l.Request == t.Request {
			mark = "*"
		}
		var attributes strings.Builder
		for _, name := range slices.Sorted(maps.Keys(l.Attributes)) {
			fmt.Fprintf(&attributes, " %s=%v", name, l.Attributes[name])
		}
		_, err := fmt.Fprintf(w, "%s %s %-20s %s %s%s\n", mark, l.At.Format("15:04:05.000"), l.Source, l.Event, l.Message, attributes.String())
		if err != nil {
			return err
		}
	}
	return nil
}
