// Package extrap extrapolates measurements of resource use to a planned size of
// the system and compares the results with the limits.
package extrap

import (
	"fmt"
	"io"
	"math"

	"github.com/gravitational/trace"

	"github.com/vanillapulley/vanillapulley/internal/wire"
)

// Point is one measurement: the value of a figure at a size of the system.
type Point struct {
	Size  float64
	Value float64
}

// Figure is one row of the capacity table: a quantity that was measured at
// several sizes.
type Figure struct {
	Role string
	Name string
	Unit string
	// Limit is the largest permitted value; zero means that there is none.
	Limit float64
	// Mechanism names the mechanism on which the figure depends.
	Mechanism string
	// Source is the command that produces the points; it is run from the root of
	// the repository.
	Source string
	Points []Point
}

// Plan holds all figures and the size to which they are extrapolated.
type Plan struct {
	Size    float64
	Figures []Figure
}

// minPoints is the minimum number of points for a fitted line.
const minPoints = 3

// Read decodes a plan from JSON and checks that each figure has enough points.
func Read(in io.Reader) (Plan, error) {
	data, err := io.ReadAll(in)
	if err != nil {
		return Plan{}, trace.Wrap(err)
	}
	var decoded wire.Plan
	if err := wire.DecodeStrict(data, &decoded); err != nil {
		return Plan{}, trace.Wrap(err)
	}
	plan := planFromWire(decoded)
	for _, figure := range plan.Figures {
		if len(figure.Points) < minPoints {
			return plan, trace.BadParameter("%s, %s: %d points, a fitted line needs at least %d", figure.Role, figure.Name, len(figure.Points), minPoints)
		}
	}
	return plan, nil
}

// planFromWire converts a decoded plan.
func planFromWire(decoded wire.Plan) Plan {
	plan := Plan{Size: decoded.Size}
	for _, row := range decoded.Figures {
		figure := Figure{Role: row.Role, Name: row.Name, Unit: row.Unit, Limit: row.Limit, Mechanism: row.Mechanism, Source: row.Source}
		for _, point := range row.Points {
			figure.Points = append(figure.Points, Point(point))
		}
		plan.Figures = append(plan.Figures, figure)
	}
	return plan
}

// FitLine returns the least-squares line through the points.
func (figure Figure) FitLine() (slope, offset float64) {
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

// Extrapolate returns the value of the fitted line at the given size, but at
// least the largest measured value, so a falling line never gives less than was
// measured.
func (figure Figure) Extrapolate(size float64) float64 {
	slope, offset := figure.FitLine()
	largest := 0.0
	for _, point := range figure.Points {
		largest = math.Max(largest, point.Value)
	}
	return math.Max(largest, offset+slope*size)
}

// Write writes the capacity table in Markdown.
func (plan Plan) Write(out io.Writer) error {
	_, err := fmt.Fprintf(out, "| role | figure | measured (size: value) | slope | at %.0f | limit | headroom | carried by |\n|---|---|---|---|---|---|---|---|\n", plan.Size)
	for _, figure := range plan.Figures {
		if err == nil {
			_, err = fmt.Fprintln(out, figure.markdownRow(plan.Size))
		}
	}
	return trace.Wrap(err)
}

// markdownRow returns the row of the figure in the capacity table. A figure above
// its limit at the given size is marked as missed.
func (figure Figure) markdownRow(size float64) string {
	measurements := ""
	for _, point := range figure.Points {
		measurements += fmt.Sprintf("%.0f: %.4g ", point.Size, point.Value)
	}
	slope, _ := figure.FitLine()
	extrapolated := figure.Extrapolate(size)
	limit, headroom := "none stated", ""
	if figure.Limit > 0 {
		limit = fmt.Sprintf("%.4g", figure.Limit)
		headroom = fmt.Sprintf("%.1f times", figure.Limit/extrapolated)
		if extrapolated > figure.Limit {
			headroom = "**missed**"
		}
	}
	return fmt.Sprintf("| %s | %s (%s) | %s| %.3g | %.4g | %s | %s | %s |", figure.Role, figure.Name, figure.Unit, measurements, slope, extrapolated, limit, headroom, figure.Mechanism)
}
