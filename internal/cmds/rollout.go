package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/vanillapulley/vanillapulley/internal/wire"
	"github.com/vanillapulley/vanillapulley/pkg/client"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// rolloutLine formats the latest step of a rollout. The share, which is in
// permille, is printed in percent. It returns false if the resource is not a valid
// rollout.
func rolloutLine(resource wire.Resource) (string, bool) {
	rollout, ok := asRollout(resource)
	if !ok {
		return "", false
	}
	last := rollout.LatestStep()
	return fmt.Sprintf("%s -> %s: %s at %.1f%%, %s", rollout.From(), rollout.To(), last.State, float64(last.Share)/10, last.Cause), true
}

// asRollout returns the resource as a rollout. It returns false if the resource
// has another kind or is invalid.
func asRollout(resource wire.Resource) (rsrc.Rollout, bool) {
	if resource.Kind != string(rsrc.KindRollout) {
		return rsrc.Rollout{}, false
	}
	value, err := resource.Domain()
	if err != nil {
		return rsrc.Rollout{}, false
	}
	rollout, ok := value.(rsrc.Rollout)
	return rollout, ok
}

func watchCommand() *cli.Command {
	return &cli.Command{
		Name:        "watch",
		Usage:       "tell of every change, or of one route's rollout until it has ended",
		ArgsUsage:   "[ROUTE]",
		Description: "Examples: vpctl watch; vpctl watch timetable",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "from", Usage: "the `VERSION` after which to start"},
			outputFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			api := client.New(c.StringSlice("api"))
			return follow(ctx, c, api, c.Uint64("from"), c.Args().First())
		},
	}
}

// follow prints the resources that change after the given configuration version.
// With a route, it prints only the rollout of that route and returns when the
// rollout has ended.
func follow(ctx context.Context, c *cli.Command, api *client.Client, afterVersion uint64, route string) error {
	for {
		var list wire.ResourceList
		if err := api.Watch(ctx, afterVersion, &list); err != nil {
			return err
		}
		afterVersion = max(afterVersion, list.Version)
		for _, resource := range list.Resources {
			if route != "" && (resource.Kind != string(rsrc.KindRollout) || resource.Name != route) {
				continue
			}
			if err := printChange(c, resource); err != nil {
				return err
			}
			if rollout, ok := asRollout(resource); ok && route != "" && rollout.LatestStep().State.Ended() {
				return endError(rollout)
			}
		}
	}
}

func printChange(c *cli.Command, resource wire.Resource) error {
	if wantsJSON(c) {
		return trace.Wrap(json.NewEncoder(c.Root().Writer).Encode(resource))
	}
	_, err := fmt.Fprintf(c.Root().Writer, "%d %s/%s %s\n", resource.Revision, resource.Kind, resource.Name, specLine(resource))
	return trace.Wrap(err)
}

// endError returns the error for a rollout that has ended: nil if its final state
// is finished, which is the only success, or else a rolloutError.
func endError(rollout rsrc.Rollout) error {
	if last := rollout.LatestStep(); last.State != rsrc.StateFinished {
		return &rolloutError{state: string(last.State), cause: last.Cause}
	}
	return nil
}

func rolloutCommand() *cli.Command {
	return &cli.Command{
		Name:        "rollout",
		Usage:       "shift a route to another version by a time",
		ArgsUsage:   "ROUTE",
		Description: "Examples: vpctl rollout timetable --to v2 --by 17:00; vpctl rollout timetable --to v2 --by 2h --wait",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "to", Required: true, Usage: "the new `VERSION`"},
			&cli.StringFlag{Name: "by", Required: true, Usage: "the deadline: a `TIME` such as 17:00, 2026-01-31T17:00:00Z or 2h from now"},
			&cli.BoolFlag{Name: "wait", Usage: "show the progress until the rollout has ended"},
			requestIDFlag(), outputFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			route, err := oneArgument(c, "ROUTE")
			if err != nil {
				return err
			}
			deadline, err := parseTime(c.String("by"), time.Now())
			if err != nil {
				return err
			}
			body := wire.RolloutRequest{Route: route, To: c.String("to"), By: deadline}
			// The content has the text of --by instead of the deadline, because a
			// duration such as 2h results in another deadline in a resend.
			request := client.Request{ID: c.String("request-id"), Content: strings.Join([]string{route, body.To, c.String("by")}, " ")}
			result, err := post[wire.Result](ctx, c, "/v1/rollouts", request, body)
			if err != nil {
				return err
			}
			if wantsJSON(c) {
				if err := printJSON(c, result); err != nil {
					return err
				}
			} else {
				_, _ = fmt.Fprintf(c.Root().Writer, "accepted as version %d, due %s\n", result.Version, deadline.Format(time.RFC3339))
			}
			if !c.Bool("wait") {
				return nil
			}
			return follow(ctx, c, client.New(c.StringSlice("api")), result.Version-1, route)
		},
	}
}

// parseTime parses a duration from now, an RFC 3339 time or a time of day in the
// time zone of now. A time of day that has passed today means tomorrow.
func parseTime(text string, now time.Time) (time.Time, error) {
	if duration, err := time.ParseDuration(text); err == nil {
		return now.Add(duration), nil
	}
	if timestamp, err := time.Parse(time.RFC3339, text); err == nil {
		return timestamp, nil
	}
	timeOfDay, err := time.ParseInLocation("15:04", text, now.Location())
	if err != nil {
		return time.Time{}, trace.BadParameter("--by: %q is not a time such as 17:00, 2026-01-31T17:00:00Z or 2h", text)
	}
	next := time.Date(now.Year(), now.Month(), now.Day(), timeOfDay.Hour(), timeOfDay.Minute(), 0, 0, now.Location())
	if next.Before(now) {
		next = next.AddDate(0, 0, 1)
	}
	return next, nil
}

func rollbackCommand() *cli.Command {
	return &cli.Command{
		Name:        "rollback",
		Usage:       "take a route's rollout back",
		ArgsUsage:   "ROUTE",
		Description: "Example: vpctl rollback timetable --cause \"wrong fonts\"",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "cause", Usage: "why, for those who watch"},
			requestIDFlag(), outputFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			route, err := oneArgument(c, "ROUTE")
			if err != nil {
				return err
			}
			body := wire.RollbackRequest{Route: route, Cause: c.String("cause")}
			result, err := post[wire.Result](ctx, c, "/v1/rollbacks", client.Request{ID: c.String("request-id")}, body)
			if err != nil {
				return err
			}
			if wantsJSON(c) {
				return printJSON(c, result)
			}
			_, _ = fmt.Fprintf(c.Root().Writer, "rolled back as version %d\n", result.Version)
			return nil
		},
	}
}
