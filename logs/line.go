package logs

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	vane "mustardvane.org/vane"
)

// maxLineBytes is the maximum length of a log line. Scan stops with an error at a
// longer one.
const maxLineBytes = 1 << 20

// Line is one line of a node's log.
type Line struct {
	Time   time.Time
	Node   string
	Msg    string
	Fields map[string]any // all but time, level, msg and node, as decoded by encoding/json
}

// Text returns the value of a string field. It is empty if there is no such field or its
// value is not a string.
func (l Line) Text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// Mentions reports whether the node of the line or the value of any field equals name.
func (l Line) Mentions(name string) bool {
	if l.Node == name {
		return true
	}
	for _, v := range l.Fields {
		if v == name {
			return true
		}
	}
	return false
}

// Read returns the log lines of a file, of all files below a folder, or of standard
// input if the path is "-", in order of time, and the number of lines skipped because
// they are not log lines. Text before the first brace of a line, such as the prefix
// added by a log collector, is ignored. If the path can't be read, the error is of
// KindInvalid.
func Read(path string) (lines []Line, skipped int, err error) {
	if path == "-" {
		lines, skipped, err = Scan(os.Stdin)
		return sortByTime(lines), skipped, err
	}
	err = filepath.WalkDir(path, func(p string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		f, err := os.Open(p)
		if err != nil {
			return err
		}
		defer f.Close()
		l, n, err := Scan(f)
		lines, skipped = append(lines, l...), skipped+n
		return err
	})
	if err != nil {
		return nil, 0, vane.Errorf(vane.KindInvalid, "logs.read", "name a readable file or folder", "no logs at %s", path).WithCause(err)
	}
	return sortByTime(lines), skipped, nil
}

// sortByTime sorts lines by time in place, and returns them.
func sortByTime(lines []Line) []Line {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines
}

// Scan reads log lines until the end of r, in the order of r. It also returns the number
// of lines skipped because they are not log lines. It returns an error if r fails or a
// line is longer than 1 MiB.
func Scan(r io.Reader) (lines []Line, skipped int, err error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, maxLineBytes), maxLineBytes)
	for sc.Scan() {
		if l, ok := parseLine(sc.Bytes()); ok {
			lines = append(lines, l)
		} else {
			skipped++
		}
	}
	return lines, skipped, sc.Err()
}

// parseLine decodes one line. It returns false if the line is not a JSON object with a time.
func parseLine(b []byte) (Line, bool) {
	start := bytes.IndexByte(b, '{')
	if start < 0 {
		return Line{}, false
	}
	l := Line{}
	if json.Unmarshal(b[start:], &l.Fields) != nil {
		return Line{}, false
	}
	t, err := time.Parse(time.RFC3339Nano, l.Text("time"))
	if err != nil {
		return Line{}, false
	}
	l.Time, l.Msg, l.Node = t, l.Text("msg"), l.Text("node")
	for _, f := range []string{"time", "msg", "node", "level"} {
		delete(l.Fields, f)
	}
	return l, true
}
