package cmds

import (
	"errors"
	"strings"

	"github.com/gravitational/trace"

	"github.com/vanillapulley/vanillapulley/pkg/client"
)

// The exit codes of both programs.
const (
	exitOK          = 0
	exitFailure     = 1
	exitInvalid     = 2
	exitConflict    = 3
	exitUnavailable = 4
	exitUnknown     = 5
	exitRolledBack  = 6
)

// rolledBackError reports a rollout that did not come to a good end.
type rolledBackError struct {
	state string
	cause string
}

// Error returns state and cause.
func (err *rolledBackError) Error() string {
	return "the rollout ended as " + err.state + ": " + err.cause
}

func exitCode(err error) int {
	var refusal *client.RefusalError
	var rolledBack *rolledBackError
	switch {
	case errors.As(err, &rolledBack):
		return exitRolledBack
	case !errors.As(err, &refusal):
		return exitFailure
	}
	switch refusal.Code {
	case client.CodeInvalid, client.CodeNotFound:
		return exitInvalid
	case client.CodeConflict, client.CodeReused:
		return exitConflict
	case client.CodeUnavailable:
		return exitUnavailable
	default:
		return exitUnknown
	}
}

// message returns an error in one line, without stack traces.
func oneLine(err error) string {
	text := trace.UserMessage(err)
	return strings.ReplaceAll(strings.TrimSpace(text), "\n", "; ")
}
