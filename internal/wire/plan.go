package wire

// Plan is the written form of measured figures and the size to work them out
// for.
type Plan struct {
	Size    float64      `json:"size"`
	Figures []PlanFigure `json:"figures"`
}

// PlanFigure is one quantity, measured at several sizes.
type PlanFigure struct {
	Role      string      `json:"role"`
	Name      string      `json:"name"`
	Unit      string      `json:"unit"`
	Limit     float64     `json:"limit"`
	Mechanism string      `json:"mechanism"`
	Source    string      `json:"source"`
	Points    []PlanPoint `json:"points"`
}

// PlanPoint is one measurement.
type PlanPoint struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}
