package config

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// FieldError is a bad field of a YAML document.
type FieldError struct {
	File    string
	Line    int
	Field   string // YAML path, for example $.listen.callers; may be empty
	Problem string // what was expected
	Remedy  string // what to write instead
}

// Error implements the error interface.
func (e *FieldError) Error() string {
	s := fmt.Sprintf("%s:%d: ", e.File, e.Line)
	if e.Field != "" {
		s += strings.TrimPrefix(e.Field, "$.") + ": "
	}
	s += e.Problem
	if e.Remedy != "" {
		s += "; " + e.Remedy
	}
	return s
}

// document is a parsed YAML document that can locate its fields.
type document struct {
	file string
	ast  *ast.File
}

// decode reads b strictly into v and returns the document for later checks.
func decode(file string, b []byte, v any) (*document, error) {
	f, err := parser.ParseBytes(b, 0)
	if err != nil {
		return nil, syntaxError(file, b, err)
	}
	if err := yaml.UnmarshalWithOptions(b, v, yaml.Strict()); err != nil {
		return nil, syntaxError(file, b, err)
	}
	return &document{file: file, ast: f}, nil
}

// syntaxError turns a decoder's error into a FieldError.
func syntaxError(file string, b []byte, err error) error {
	var ye yaml.Error
	if !errors.As(err, &ye) {
		return &FieldError{File: file, Line: quotedLine(b, err.Error()), Problem: err.Error(), Remedy: remedyFor(err.Error())}
	}
	line := 1
	if t := ye.GetToken(); t != nil {
		line = t.Position.Line
	}
	return &FieldError{File: file, Line: line, Problem: ye.GetMessage(), Remedy: remedyFor(ye.GetMessage())}
}

// quotedLine returns the first line that holds the value that a message quotes,
// for errors without a position.
func quotedLine(b []byte, msg string) int {
	parts := strings.Split(msg, `"`)
	if len(parts) < 3 || parts[1] == "" {
		return 1
	}
	at := bytes.Index(b, []byte(parts[1]))
	if at < 0 {
		return 1
	}
	return 1 + bytes.Count(b[:at], []byte{'\n'})
}

// remedyFor names the remedy for a decoder's message.
func remedyFor(msg string) string {
	switch {
	case strings.Contains(msg, "unknown field"):
		return "remove the field or correct its name; docs/SETTINGS.md lists all fields"
	case strings.Contains(msg, "duplicate"), strings.Contains(msg, "already defined"):
		return "keep one of the two fields"
	case strings.Contains(msg, "cannot unmarshal"), strings.Contains(msg, "invalid duration"):
		return "write a value of the documented type; durations look like 820ms or 5s"
	default:
		return "correct the YAML syntax at this line"
	}
}

// bad returns a FieldError at the position of the YAML path.
func (d *document) bad(path, want, remedy string) error {
	return &FieldError{File: d.file, Line: d.line(path), Field: path, Problem: want, Remedy: remedy}
}

// line returns the line of the path, or of its nearest parent that exists.
func (d *document) line(path string) int {
	for p := path; p != "" && p != "$"; p = parent(p) {
		yp, err := yaml.PathString(p)
		if err != nil {
			continue
		}
		n, err := yp.FilterFile(d.ast)
		if err == nil && n != nil && n.GetToken() != nil {
			return n.GetToken().Position.Line
		}
	}
	return 1
}

// parent returns the YAML path without its last step.
func parent(p string) string {
	i := strings.LastIndexAny(p, ".[")
	if i <= 0 {
		return ""
	}
	return p[:i]
}
