// Package trail follows one thing through the logs of several processes: a
// call by its id, or what was believed of an upstream, a rollout or a
// configuration. It reads logs of any size line by line.
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

// maxLineBytes bounds one line of a log, in bytes; a longer one is counted as not
// readable.
const maxLineBytes = 1 << 20

// maxSteps bounds the lines that are kept; the latest are left out.
const maxSteps = 10_000

// Step is one line that speaks of what is followed.
type Step struct {
	// Process is where the line comes from: what stands before it on its line,
	// or the name of its log.
	Process string
	Line    logs.Line
}

// Trail collects steps. It is not safe for concurrent use.
type Trail struct {
	value string
	steps []Step
	// skipped counts lines that are none of the project's, left those beyond
	// the bound.
	skipped int
	omitted int
}

// New returns a trail of what has the given value in one of its fields. A
// number is compared as it is written.
func New(value string) *Trail { return &Trail{value: value} }

// Skipped returns how many lines were none of the project's, Left how many
// steps were too many to keep.
func (trail *Trail) Skipped() int { return trail.skipped }

// Omitted returns how many steps were too many to keep.
func (trail *Trail) Omitted() int { return trail.omitted }

// Read adds the steps of one log. A line may have other text before it, such
// as a time and the name of the process.
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

func (trail *Trail) skip(text []byte) {
	if len(bytes.TrimSpace(text)) > 0 {
		trail.skipped++
	}
}

// matches reports whether a field, or an entry of a list, has the value.
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

// formatValue writes a value as a log line shows it.
func formatValue(value any) string {
	if number, ok := value.(float64); ok && number == float64(int64(number)) {
		return fmt.Sprint(int64(number))
	}
	return fmt.Sprint(value)
}

// Steps returns what was found, in the order of time.
func (trail *Trail) Steps() []Step {
	steps := slices.Clone(trail.steps)
	slices.SortStableFunc(steps, func(a, b Step) int {
		return cmp.Or(a.Line.At.Compare(b.Line.At), cmp.Compare(a.Process, b.Process))
	})
	return steps
}

// commonFields are the fields that every line has.
var commonFields = []string{"logger", "ts", "level", "msg"}

// Details writes a step's fields in the order of their names.
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
