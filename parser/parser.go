// Package parser parses configuration documents and reports all faults of a
// document at once.
//
// # Usage
//
//	configuration, faults := parser.Parse(text)
//	for _, fault := range faults {
//		fmt.Println(fault)
//	}
package parser

import (
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	yamlparser "github.com/goccy/go-yaml/parser"

	"github.com/pollencrank/pollencrank"
)

// Fault is an error in a configuration.
type Fault struct {
	// Line is the line in the document, or 0 if the configuration was not parsed
	// from one.
	Line int `json:"line,omitempty"`
	// Path is the YAML path of the field, such as $.workloads[1].rank.
	Path string `json:"path"`
	// Message describes the fault.
	Message string `json:"message"`
	// Suggestion proposes a correction.
	Suggestion string `json:"suggestion,omitempty"`
}

// String returns the fault on one line.
func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	fmt.Fprintf(&b, "%s: %s", f.Path, f.Message)
	if f.Suggestion != "" {
		fmt.Fprintf(&b, " (%s)", f.Suggestion)
	}
	return b.String()
}

// Faults is the list of all faults of a configuration.
type Faults []Fault

// FaultsError is the error form of Faults.
type FaultsError struct {
	Faults Faults
}

// Error implements error.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return fmt.Sprintf("the configuration has %d faults:\n%s", len(e.Faults), strings.Join(lines, "\n"))
}

// Err returns a FaultsError, or nil if f is empty.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return &FaultsError{Faults: f}
}

// Parse parses a YAML document and checks the configuration in it. If the document
// cannot be parsed, the configuration is nil.
func Parse(text []byte) (*pollencrank.Configuration, Faults) {
	c := &pollencrank.Configuration{}
	if err := yaml.UnmarshalWithOptions(text, c, yaml.Strict()); err != nil {
		return nil, Faults{syntaxFault(err)}
	}
	faults := Check(c)
	if len(faults) == 0 {
		return c, nil
	}
	file, err := yamlparser.ParseBytes(text, 0)
	if err != nil {
		return c, faults
	}
	for i := range faults {
		faults[i].Line = lineOf(file, faults[i].Path)
	}
	return c, faults
}

// syntaxFault converts a YAML error to a fault.
func syntaxFault(err error) Fault {
	fault := Fault{Path: "$", Message: err.Error()}
	var typed yaml.Error
	if errors.As(err, &typed) {
		fault.Message = typed.GetMessage()
		if token := typed.GetToken(); token != nil && token.Position != nil {
			fault.Line = token.Position.Line
		}
	}
	return fault
}

// lineOf returns the line of the node at a path, or of its nearest ancestor.
func lineOf(file *ast.File, path string) int {
	for path != "" && path != "$" {
		if line := exactLine(file, path); line > 0 {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1
}

func exactLine(file *ast.File, path string) int {
	query, err := yaml.PathString(path)
	if err != nil {
		return 0
	}
	node, err := query.FilterFile(file)
	if err != nil || node == nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

// Format encodes a configuration as a YAML document.
func Format(c *pollencrank.Configuration) ([]byte, error) {
	return yaml.Marshal(c)
}
