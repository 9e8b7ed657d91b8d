package wire

// Plan is the encoded form of the input of package budget: quantities measured
// on small systems, and the planned size of the system for which package budget
// estimates their values.
type Plan struct {
	Size    float64      `json:"size"`
	Figures []PlanFigure `json:"figures"`
}

// PlanFigure is one quantity, measured at several sizes of the system. Limit is
// the value that it must not exceed, or zero if there is none. Mechanism is the
// name of the mechanism on which the quantity depends. Source is the command
// that produces the points.
type PlanFigure struct {
	Role      string      `json:"role"`
	Name      string      `json:"name"`
	Unit      string      `json:"unit"`
	Limit     float64     `json:"limit"`
	Mechanism string      `json:"mechanism"`
	Source    string      `json:"source"`
	Points    []PlanPoint `json:"points"`
}

// PlanPoint is the value of a quantity measured at one size of the system.
type PlanPoint struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}
