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

// maxLine bounds one line of a log, in bytes; a longer one is counted as not
// readable.
const maxLine = 1 << 20

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
	left    int
}

// New returns a trail of what has the given value in one of its fields. A
// number is compared as it is written.
func New(value string) *Trail { return &Trail{value: value} }

// Skipped returns how many lines were none of the project's, Left how many
// steps were too many to keep.
func (trail *Trail) Skipped() int { return trail.skipped }

// Left returns how many steps were too many to keep.
func (trail *Trail) Left() int { return trail.left }

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
		if len(line) <= maxLine {
			line = append(line, part...)
		}
		if !more {
			trail.take(name, line)
			line = line[:0]
		}
	}
}

func (trail *Trail) take(name string, text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 || len(text) > maxLine {
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
	if !trail.speaks(line.Fields) {
		return
	}
	if before := strings.Fields(string(text[:start])); len(before) > 0 {
		name = before[len(before)-1]
	}
	if len(trail.steps) >= maxSteps {
		trail.left++
		return
	}
	trail.steps = append(trail.steps, Step{Process: name, Line: line})
}

func (trail *Trail) skip(text []byte) {
	if len(bytes.TrimSpace(text)) > 0 {
		trail.skipped++
	}
}

// speaks reports whether a field, or an entry of a list, has the value.
func (trail *Trail) speaks(fields map[string]any) bool {
	for _, field := range fields {
		if list, ok := field.([]any); ok {
			if slices.ContainsFunc(list, func(item any) bool { return text(item) == trail.value }) {
				return true
			}
			continue
		}
		if text(field) == trail.value {
			return true
		}
	}
	return false
}

// text writes a value as a log line shows it.
func text(value any) string {
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

// common are the fields that every line has.
var common = []string{"logger", "ts", "level", "msg"}

// Details writes a step's fields in the order of their names.
func (step Step) Details() string {
	names := make([]string, 0, len(step.Line.Fields))
	for name := range step.Line.Fields {
		if !slices.Contains(common, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, name+"="+text(step.Line.Fields[name]))
	}
	return strings.Join(parts, " ")
}
