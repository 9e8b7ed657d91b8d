package cmds

import (
	"errors"
	"strings"

	"github.com/gravitational/trace"

	"github.com/vanillapulley/vanillapulley/pkg/client"
)

// The exit codes of vpd and vpctl; exitCodesHelp describes them.
const (
	exitOK                 = 0
	exitFailure            = 1
	exitInvalid            = 2
	exitConflict           = 3
	exitUnavailable        = 4
	exitUnknown            = 5
	exitRolloutNotFinished = 6
)

// rolloutError reports a rollout that was rolled back or failed.
type rolloutError struct {
	state string
	cause string
}

// Error returns the final state of the rollout and its cause.
func (err *rolloutError) Error() string {
	return "the rollout ended as " + err.state + ": " + err.cause
}

// exitCode returns the exit code for a non-nil error. It is exitUnknown for a
// refusal with client.CodeUnknown or with a code that this client does not know.
func exitCode(err error) int {
	var refusal *client.RefusalError
	var rolloutErr *rolloutError
	switch {
	case errors.As(err, &rolloutErr):
		return exitRolloutNotFinished
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

// oneLine returns the text of an error on a single line, without stack traces.
func oneLine(err error) string {
	text := trace.UserMessage(err)
	return strings.ReplaceAll(strings.TrimSpace(text), "\n", "; ")
}
