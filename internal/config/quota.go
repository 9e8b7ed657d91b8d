package config

import (
	"cmp"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/quota"
)

// AccountLimit states by how much the calls of an account may exceed its limit, summed
// over all nodes: in each Window, by Overshoot times the limit, plus Slack calls. Zero
// means the default of package quota.
type AccountLimit struct {
	Window Duration `json:"window"`
	// Overshoot is a part of the limit, 0.1 for 10%.
	Overshoot float64 `json:"overshoot"`
	// Slack is a number of calls.
	Slack float64 `json:"slack"`
}

// Quota returns the settings with the defaults applied.
func (limit AccountLimit) Quota() quota.Settings {
	defaults := quota.DefaultSettings()
	return quota.Settings{
		Window:    cmp.Or(time.Duration(limit.Window), defaults.Window),
		Overshoot: cmp.Or(limit.Overshoot, defaults.Overshoot),
		Slack:     cmp.Or(limit.Slack, defaults.Slack),
	}
}

// minHold is the shortest time for which an entry can keep a token: a request to
// another zone must come back before it ends.
const minHold = 50 * time.Millisecond

// accountLimit checks the settings of the limits of accounts.
func (checker *checker) accountLimit(limit AccountLimit) {
	checker.nonNegative("accountLimit.window", limit.Window)
	checker.require(limit.Overshoot >= 0 && limit.Slack >= 0, "accountLimit", "must not be negative")
	checker.require(limit.Quota().Hold() >= minHold, "accountLimit", "window times overshoot must be at least "+minHold.String())
}
