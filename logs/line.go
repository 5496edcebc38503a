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

// maxLine bounds a log line; longer ones are skipped.
const maxLine = 1 << 20 // bytes

// Line is one line of a node's log.
type Line struct {
	Time   time.Time
	Node   string
	Msg    string
	Fields map[string]any // without time, level, msg and node
}

// Text returns a field that is text, or nothing.
func (l Line) Text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// Mentions says whether a field of the line is the name.
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

// Read returns the lines of a file, of all files in a folder, or of standard input if
// the path is "-", in order of time. Text before the first brace of a line is left out.
// It also returns the number of lines that are no log lines.
func Read(path string) (lines []Line, skipped int, err error) {
	if path == "-" {
		lines, skipped, err = Scan(os.Stdin)
		return sorted(lines), skipped, err
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
	return sorted(lines), skipped, nil
}

// sorted puts lines in order of time.
func sorted(lines []Line) []Line {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines
}

// Scan reads lines until the end of r.
func Scan(r io.Reader) (lines []Line, skipped int, err error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, maxLine), maxLine)
	for sc.Scan() {
		if l, ok := parse(sc.Bytes()); ok {
			lines = append(lines, l)
		} else {
			skipped++
		}
	}
	return lines, skipped, sc.Err()
}

// parse reads one line.
func parse(b []byte) (Line, bool) {
	at := bytes.IndexByte(b, '{')
	if at < 0 {
		return Line{}, false
	}
	l := Line{}
	if json.Unmarshal(b[at:], &l.Fields) != nil {
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
