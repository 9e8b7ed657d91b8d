package wire

// Plan is the encoded form of the input of package budget: quantities measured
// at small sizes, and the planned size for which their values are estimated.
type Plan struct {
	Size    float64      `json:"size"`
	Figures []PlanFigure `json:"figures"`
}

// PlanFigure is one quantity, measured at several sizes. Limit is the value
// that it must not exceed. Source is the command that produces the points.
type PlanFigure struct {
	Role      string      `json:"role"`
	Name      string      `json:"name"`
	Unit      string      `json:"unit"`
	Limit     float64     `json:"limit"`
	Mechanism string      `json:"mechanism"`
	Source    string      `json:"source"`
	Points    []PlanPoint `json:"points"`
}

// PlanPoint is the value of a quantity measured at one size.
type PlanPoint struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}
