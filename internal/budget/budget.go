// Package budget works out what each role needs at a planned size from slopes
// measured at smaller ones, and compares it with the limits.
package budget

import (
	"encoding/json"
	"fmt"
	"io"
	"math"

	"github.com/gravitational/trace"
)

// Point is one measurement.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Figure is one row of the page: a quantity measured at several sizes.
type Figure struct {
	Role  string  `json:"role"`
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Limit float64 `json:"limit"`
	// Mechanism names what carries the figure.
	Mechanism string `json:"mechanism"`
	// Source is the command that gives the points, from the repository's root.
	Source string  `json:"source"`
	Points []Point `json:"points"`
}

// Plan is all figures and the size to work them out for.
type Plan struct {
	Size    float64  `json:"size"`
	Figures []Figure `json:"figures"`
}

// minPoints is how many sizes a slope needs.
const minPoints = 3

// Read decodes a plan and checks it.
func Read(in io.Reader) (Plan, error) {
	var plan Plan
	decoder := json.NewDecoder(in)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&plan); err != nil {
		return plan, trace.Wrap(err)
	}
	for _, figure := range plan.Figures {
		if len(figure.Points) < minPoints {
			return plan, trace.BadParameter("%s, %s: %d sizes, a slope needs %d", figure.Role, figure.Name, len(figure.Points), minPoints)
		}
	}
	return plan, nil
}

// Line is a least-squares line through the points.
func (figure Figure) Line() (slope, offset float64) {
	count, sumX, sumY, sumXX, sumXY := float64(len(figure.Points)), 0.0, 0.0, 0.0, 0.0
	for _, point := range figure.Points {
		sumX += point.Size
		sumY += point.Value
		sumXX += point.Size * point.Size
		sumXY += point.Size * point.Value
	}
	slope = (count*sumXY - sumX*sumY) / (count*sumXX - sumX*sumX)
	return slope, (sumY - slope*sumX) / count
}

// At is the value on the line at a size, or the largest measured one if the
// line falls.
func (figure Figure) At(size float64) float64 {
	slope, offset := figure.Line()
	largest := 0.0
	for _, point := range figure.Points {
		largest = math.Max(largest, point.Value)
	}
	return math.Max(largest, offset+slope*size)
}

// Write prints the table in Markdown.
func (plan Plan) Write(out io.Writer) error {
	_, err := fmt.Fprintf(out, "| role | figure | measured (size: value) | slope | at %.0f | limit | headroom | carried by |\n|---|---|---|---|---|---|---|---|\n", plan.Size)
	for _, figure := range plan.Figures {
		if err == nil {
			_, err = fmt.Fprintln(out, figure.row(plan.Size))
		}
	}
	return trace.Wrap(err)
}

func (figure Figure) row(size float64) string {
	points := ""
	for _, point := range figure.Points {
		points += fmt.Sprintf("%.0f: %.4g ", point.Size, point.Value)
	}
	slope, _ := figure.Line()
	at := figure.At(size)
	limit, headroom := "none stated", ""
	if figure.Limit > 0 {
		limit = fmt.Sprintf("%.4g", figure.Limit)
		headroom = fmt.Sprintf("%.1f times", figure.Limit/at)
		if at > figure.Limit {
			headroom = "**missed**"
		}
	}
	return fmt.Sprintf("| %s | %s (%s) | %s| %.3g | %.4g | %s | %s | %s |", figure.Role, figure.Name, figure.Unit, points, slope, at, limit, headroom, figure.Mechanism)
}
