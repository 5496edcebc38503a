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

// FieldError describes an invalid field of a YAML document.
type FieldError struct {
	File    string
	Line    int
	Field   string // YAML path, for example $.listen.callers; may be empty
	Problem string // what is wrong or was expected
	Remedy  string // how to correct it; may be empty
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

// document is a parsed YAML document. It is used to find the lines of fields.
type document struct {
	file string
	ast  *ast.File
}

// decode decodes b into v, rejecting unknown fields, and returns the document for
// later checks. Errors are of type *FieldError.
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

// syntaxError converts an error of the YAML decoder to a FieldError.
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

// quotedLine returns the number of the first line that contains the value quoted in
// an error message, or 1 if there is none. It is used for errors of the decoder that
// carry no position.
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

// remedyFor returns the remedy for an error message of the YAML decoder.
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

// fieldError returns a FieldError at the line of the YAML path.
func (d *document) fieldError(path, problem, remedy string) error {
	return &FieldError{File: d.file, Line: d.line(path), Field: path, Problem: problem, Remedy: remedy}
}

// line returns the line of the field at path, or of its nearest parent that exists,
// or 1.
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

// parent returns the YAML path of the enclosing field, or "" at the root.
func parent(p string) string {
	i := strings.LastIndexAny(p, ".[")
	if i <= 0 {
		return ""
	}
	return p[:i]
}
