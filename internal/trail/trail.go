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

// maxSteps is the maximum number of steps that a trail keeps. The lines that are
// read after that are counted as omitted.
const maxSteps = 10_000

// Step is a line that has the value that the trail follows.
type Step struct {
	// Process is the process that wrote the line: the last word before the JSON
	// object on the line, or the name of the log if there is none.
	Process string
	Line    logs.Line
}

// Trail collects the steps of one value. It is not safe for concurrent use.
type Trail struct {
	value string
	steps []Step
	// skipped counts the lines that were not readable as log lines of this
	// project. omitted counts the matching lines beyond maxSteps.
	skipped int
	omitted int
}

// New returns a trail of the lines that have the given value in one of their
// fields. A number is compared in its decimal form.
func New(value string) *Trail { return &Trail{value: value} }

// Skipped returns how many lines were not readable as log lines of this project.
func (trail *Trail) Skipped() int { return trail.skipped }

// Omitted returns how many matching lines were not kept because there were too
// many.
func (trail *Trail) Omitted() int { return trail.omitted }

// Read adds the steps of one log. The name is that of the process that wrote it.
// A line may have other text before its JSON object, such as a time and the name of
// a process, which then replaces the given name.
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

// addLine adds a step if the line has the value. A line that is too long or
// contains no JSON object is skipped. A line whose text does not contain the value
// is ignored without being parsed.
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
	if !trail.matches(line.Fields) {
		return
	}
	if prefix := strings.Fields(string(text[:start])); len(prefix) > 0 {
		name = prefix[len(prefix)-1]
	}
	if len(trail.steps) >= maxSteps {
		trail.omitted++
		return
	}
	trail.steps = append(trail.steps, Step{Process: name, Line: line})
}

// skip counts a line as skipped unless it is blank.
func (trail *Trail) skip(text []byte) {
	if len(bytes.TrimSpace(text)) > 0 {
		trail.skipped++
	}
}

// matches reports whether a field, or an item of a list, equals the value.
func (trail *Trail) matches(fields map[string]any) bool {
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

// formatValue formats a value as it appears in the log. JSON numbers are decoded
// as float64, so whole numbers are formatted without an exponent.
func formatValue(value any) string {
	if number, ok := value.(float64); ok && number == float64(int64(number)) {
		return fmt.Sprint(int64(number))
	}
	return fmt.Sprint(value)
}

// Steps returns the steps ordered by time, then by process.
func (trail *Trail) Steps() []Step {
	steps := slices.Clone(trail.steps)
	slices.SortStableFunc(steps, func(a, b Step) int {
		return cmp.Or(a.Line.At.Compare(b.Line.At), cmp.Compare(a.Process, b.Process))
	})
	return steps
}

// commonFields lists the fields that every line has.
var commonFields = []string{"logger", "ts", "level", "msg"}

// Details formats the fields of the step as name=value pairs, sorted by name and
// without the common fields.
func (step Step) Details() string {
	names := make([]string, 0, len(step.Line.Fields))
	for name := range step.Line.Fields {
		if !slices.Contains(commonFields, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, name+"="+formatValue(step.Line.Fields[name]))
	}
	return strings.Join(parts, " ")
}
