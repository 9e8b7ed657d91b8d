// Package budget works out what each role needs at a planned size from slopes
// measured at smaller ones, and compares it with the limits.
package budget

import (
	"fmt"
	"io"
	"math"

	"github.com/gravitational/trace"

	"github.com/vanillapulley/vanillapulley/internal/wire"
)

// Point is one measurement.
type Point struct {
	Size  float64
	Value float64
}

// Figure is one row of the page: a quantity measured at several sizes.
type Figure struct {
	Role  string
	Name  string
	Unit  string
	Limit float64
	// Mechanism names what carries the figure.
	Mechanism string
	// Source is the command that gives the points, from the repository's root.
	Source string
	Points []Point
}

// Plan is all figures and the size to work them out for.
type Plan struct {
	Size    float64
	Figures []Figure
}

// minPoints is how many sizes a slope needs.
const minPoints = 3

// Read decodes a plan and checks it.
func Read(in io.Reader) (Plan, error) {
	data, err := io.ReadAll(in)
	if err != nil {
		return Plan{}, trace.Wrap(err)
	}
	var written wire.Plan
	if err := wire.DecodeStrict(data, &written); err != nil {
		return Plan{}, trace.Wrap(err)
	}
	plan := planOf(written)
	for _, figure := range plan.Figures {
		if len(figure.Points) < minPoints {
			return plan, trace.BadParameter("%s, %s: %d sizes, a slope needs %d", figure.Role, figure.Name, len(figure.Points), minPoints)
		}
	}
	return plan, nil
}

// planOf converts a written plan.
func planOf(written wire.Plan) Plan {
	plan := Plan{Size: written.Size}
	for _, row := range written.Figures {
		figure := Figure{Role: row.Role, Name: row.Name, Unit: row.Unit, Limit: row.Limit, Mechanism: row.Mechanism, Source: row.Source}
		for _, point := range row.Points {
			figure.Points = append(figure.Points, Point(point))
		}
		plan.Figures = append(plan.Figures, figure)
	}
	return plan
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
