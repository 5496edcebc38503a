package config

import (
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// Lines finds the lines of fields in a YAML document, for findings about documents
// that are valid.
type Lines struct{ doc *document }

// ParseLines parses b, of which file is the name. It returns an error if b is not
// YAML.
func ParseLines(file string, b []byte) (Lines, error) {
	f, err := parser.ParseBytes(b, 0)
	if err != nil {
		return Lines{}, errors.Wrap(err, "config: lines")
	}
	return Lines{doc: &document{file: file, ast: f}}, nil
}

// Line returns the line of the field at the YAML path, for example
// $.workspaces[0].burst. If the field is not written, it returns the line of its
// nearest parent, and 1 if there is none.
func (l Lines) Line(path string) int { return l.doc.line(path) }
