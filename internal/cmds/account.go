package cmds

import (
	"fmt"

	"github.com/vanillapulley/vanillapulley/internal/wire"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// specLine describes the spec of a resource. A rollout is described by its latest
// step, an evacuation by its state, and an account without its keys and their digests.
func specLine(resource wire.Resource) string {
	if line, ok := rolloutLine(resource); ok {
		return line
	}
	if line, ok := evacuationLine(resource); ok {
		return line
	}
	if resource.Kind != string(rsrc.KindAccount) {
		return string(resource.Spec)
	}
	value, err := resource.Domain()
	account, ok := value.(rsrc.Account)
	if err != nil || !ok {
		return "unreadable"
	}
	return accountLine(account)
}

func accountLine(account rsrc.Account) string {
	line := fmt.Sprintf("keys=%d", len(account.KeyDigests()))
	if limit := account.Limit(); limit.RatePerSecond > 0 {
		line += fmt.Sprintf(" ratePerS=%g burst=%g", limit.RatePerSecond, limit.Burst)
	}
	if priority, ok := account.Priority(); ok {
		line += fmt.Sprintf(" priority=%d", priority)
	}
	return line
}
