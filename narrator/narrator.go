// Package narrator tells the story of one request from the logs of many
// instances.
//
// A log is JSON lines, each with the time, the event and its attributes. What
// stands before the first brace of a line is taken as the name of its source, so
// that logs that were gathered with a prefix can be read as they are. Besides
// the lines that name the request, the story holds the changes of belief about
// the servers that it met, shortly before and while it was served.
//
// # Usage
//
//	lines, err := narrator.Read("entry-1.log", file)
//	story := narrator.NewTimeline(lines, "9c41d07be2a35f68")
//	err = story.Write(os.Stdout)
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
	// contextBefore is how long before a request's first line changes of belief
	// belong to its story.
	contextBefore = 5 * time.Second
	// maxLineBytes bounds a line of a log.
	maxLineBytes = 1 << 20
)

// Line is one line of a log.
type Line struct {
	At time.Time
	// Source is the log that the line is from.
	Source  string
	Event   string
	Message string
	// Request is the ID of the request that the line is about, if any.
	Request    string
	Attributes map[string]any
}

// Timeline is the lines about one request in order of time.
type Timeline struct {
	Request string
	Lines   []Line
}

// Read reads a log. Lines that are not JSON are passed over and counted.
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

// take removes an attribute and returns it as text.
func take(attributes map[string]any, name string) string {
	text, _ := attributes[name].(string)
	delete(attributes, name)
	return text
}

// NewTimeline returns the story of a request. It is empty if no line names it.
func NewTimeline(lines []Line, request string) Timeline {
	story := Timeline{Request: request}
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
		return story
	}
	for _, l := range lines {
		isNear := !l.At.Before(first.Add(-contextBefore)) && !l.At.After(last)
		if l.Request == request || (l.Request == "" && isNear && l.concerns(servers)) {
			story.Lines = append(story.Lines, l)
		}
	}
	slices.SortStableFunc(story.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return story
}

// serverName finds the servers that an error names.
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

// concerns reports whether a line is about one of the servers, or about all of
// them.
func (l Line) concerns(servers map[string]bool) bool {
	named := l.servers()
	if len(named) == 0 {
		return l.Event != ""
	}
	return slices.ContainsFunc(named, func(server string) bool { return servers[server] })
}

// Write prints the story, a line each, with the attributes in order of name.
func (s Timeline) Write(w io.Writer) error {
	for _, l := range s.Lines {
		mark := " "
		if l.Request == s.Request {
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
