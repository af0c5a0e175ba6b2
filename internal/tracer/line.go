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

// maximumLineBytes bounds one log line; the program's own lines have a few hundred bytes.
const maximumLineBytes = 1 << 20

// Line is one log line of an entry instance.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	// Fields holds all other fields except the level.
	Fields map[string]any
}

// UnreadableLine is a line that looks like a log line but cannot be parsed.
type UnreadableLine struct {
	File   string
	Number int
	Err    error
}

// String returns the position of the line and the error.
func (u UnreadableLine) String() string { return fmt.Sprintf("%s:%d: %v", u.File, u.Number, u.Err) }

// Read returns the log lines of a file and the lines that cannot be parsed. Text before the JSON of a line, such as a
// timestamp added by a log collector, is skipped. Lines without JSON come from other programs and are ignored.
func Read(r io.Reader, file string) ([]Line, []UnreadableLine, error) {
	var lines []Line
	var unreadable []UnreadableLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maximumLineBytes)
	for n := 1; scanner.Scan(); n++ {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		line, err := parse(scanner.Bytes()[start:])
		if err != nil {
			unreadable = append(unreadable, UnreadableLine{file, n, err})
			continue
		}
		lines = append(lines, line)
	}
	return lines, unreadable, scanner.Err()
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

// Text returns a field as text, or an empty string if the field is missing.
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

// Sort sorts lines by time; lines with equal times keep their order.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}
