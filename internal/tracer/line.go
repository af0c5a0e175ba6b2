package tracer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"
)

// longestLine bounds one log line in bytes; lines of the program have some hundred.
const longestLine = 1 << 20

// Line is one log line of an entry instance.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	// Fields are all other fields.
	Fields map[string]any
}

// UnreadableLine is a line that is no log line.
type UnreadableLine struct {
	File   string
	Number int
	Err    error
}

// String says which line it is and why.
func (u UnreadableLine) String() string { return fmt.Sprintf("%s:%d: %v", u.File, u.Number, u.Err) }

// Read returns the log lines of a file and the lines that cannot be read. What stands before the JSON of a line, such as
// the time that a collector adds, is skipped; lines without JSON are of other programs and left out.
func Read(r io.Reader, file string) ([]Line, []UnreadableLine, error) {
	var lines []Line
	var bad []UnreadableLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, longestLine)
	for n := 1; scanner.Scan(); n++ {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		line, err := parse(scanner.Bytes()[start:])
		if err != nil {
			bad = append(bad, UnreadableLine{file, n, err})
			continue
		}
		lines = append(lines, line)
	}
	return lines, bad, scanner.Err()
}

func parse(data []byte) (Line, error) {
	fields := map[string]any{}
	if err := json.Unmarshal(data, &fields); err != nil {
		return Line{}, err
	}
	l := Line{Instance: text(fields["Instance"]), Message: text(fields["Message"]), Fields: fields}
	var err error
	if l.Time, err = time.Parse(time.RFC3339Nano, text(fields["Time"])); err != nil {
		return Line{}, err
	}
	for _, name := range []string{"Time", "Instance", "Message", "Level"} {
		delete(fields, name)
	}
	return l, nil
}

// Text returns a field as text, or nothing if it is not there.
func (l *Line) Text(name string) string { return text(l.Fields[name]) }

func text(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case string:
		return v
	}
	return fmt.Sprint(v)
}

// Sort orders lines by time, and those of one instant by instance.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}
