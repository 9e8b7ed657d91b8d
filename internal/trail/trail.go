// Package trail searches the logs of several processes for the lines that have a
// given value in one of their fields, such as the id of a call or an upstream, the
// name of a rollout or the version of a configuration. It reads logs of any size
// line by line.
package trail

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/vanillapulley/vanillapulley/internal/logs"
)

// maxLineBytes is the maximum length of a line. Longer lines are counted as
// skipped.
const maxLineBytes = 1 << 20

// maxMatches is the maximum number of matches that a trail keeps. Further matching
// lines are counted as omitted.
const maxMatches = 10_000

// Match is a line that has the searched value in one of its fields.
type Match struct {
	// Process is the process that wrote the line: the last word before the JSON
	// object, or the name given to Read if the line starts with the object.
	Process string
	Line    logs.Line
}

// Trail collects the lines that have one searched value. It is not safe for
// concurrent use.
type Trail struct {
	value   string
	matches []Match
	skipped int // see Skipped
	omitted int // see Omitted
}

// New returns a trail that searches for the given value. A whole number in a field
// is compared in its decimal form.
func New(value string) *Trail { return &Trail{value: value} }

// Skipped returns how many lines were too long, had no JSON object, or contained the
// value but could not be parsed as a log line. Blank lines are not counted.
func (trail *Trail) Skipped() int { return trail.skipped }

// Omitted returns how many matching lines were not kept because there were too
// many.
func (trail *Trail) Omitted() int { return trail.omitted }

// Read searches one log. The name is that of the process that wrote it. A line may
// have other text before its JSON object, such as a time and the name of a process.
// The last word of that text then replaces the given name.
func (trail *Trail) Read(name string, log io.Reader) error {
	reader := bufio.NewReaderSize(log, 64<<10)
	var line []byte
	for {
		part, more, err := reader.ReadLine()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if len(line) <= maxLineBytes {
			line = append(line, part...)
		}
		if !more {
			trail.addLine(name, line)
			line = line[:0]
		}
	}
}

// addLine adds a match if the line has the value in one of its fields. A line whose
// text does not contain the value is not parsed, and so it is not counted as skipped
// if it is malformed.
func (trail *Trail) addLine(name string, text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 || len(text) > maxLineBytes {
		trail.skip(text)
		return
	}
	if !bytes.Contains(text[start:], []byte(trail.value)) {
		return
	}
	line, ok := logs.Parse(text[start:])
	if !ok {
		trail.skip(text)
		return
	}
	if !trail.hasValue(line.Fields) {
		return
	}
	if prefix := strings.Fields(string(text[:start])); len(prefix) > 0 {
		name = prefix[len(prefix)-1]
	}
	if len(trail.matches) >= maxMatches {
		trail.omitted++
		return
	}
	trail.matches = append(trail.matches, Match{Process: name, Line: line})
}

// nestedIDSeparator follows the id of a call in the ids of the calls that its
// upstream makes for it.
const nestedIDSeparator = "."

// skip counts a line as skipped if it is not blank.
func (trail *Trail) skip(text []byte) {
	if len(bytes.TrimSpace(text)) > 0 {
		trail.skipped++
	}
}

// hasValue reports whether a field, or an item of a list, equals the value, or
// whether the line is about a nested call of the call with this id.
func (trail *Trail) hasValue(fields map[string]any) bool {
	if id, ok := fields["id"].(string); ok && strings.HasPrefix(id, trail.value+nestedIDSeparator) {
		return true
	}
	for _, field := range fields {
		if list, ok := field.([]any); ok {
			if slices.ContainsFunc(list, func(item any) bool { return formatValue(item) == trail.value }) {
				return true
			}
			continue
		}
		if formatValue(field) == trail.value {
			return true
		}
	}
	return false
}

// formatValue formats the value of a field. JSON numbers are decoded as float64,
// which fmt.Sprint formats with an exponent if they are large. Whole numbers are
// therefore converted to int64 first.
func formatValue(value any) string {
	if number, ok := value.(float64); ok && number == float64(int64(number)) {
		return fmt.Sprint(int64(number))
	}
	return fmt.Sprint(value)
}

// Matches returns the matches ordered by time, then by process.
func (trail *Trail) Matches() []Match {
	matches := slices.Clone(trail.matches)
	slices.SortStableFunc(matches, func(a, b Match) int {
		return cmp.Or(a.Line.At.Compare(b.Line.At), cmp.Compare(a.Process, b.Process))
	})
	return matches
}

// commonFields lists the names of the fields that Details omits, because most lines
// have them.
var commonFields = []string{"logger", "ts", "level", "msg"}

// Details formats the fields of the line as name=value pairs, sorted by name and
// without the common fields.
func (match Match) Details() string {
	names := make([]string, 0, len(match.Line.Fields))
	for name := range match.Line.Fields {
		if !slices.Contains(commonFields, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, name+"="+formatValue(match.Line.Fields[name]))
	}
	return strings.Join(parts, " ")
}
