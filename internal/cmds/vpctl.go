package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/vanillapulley/vanillapulley/internal/wire"
	"github.com/vanillapulley/vanillapulley/pkg/client"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// defaultAPI is where vpctl looks for a control VM without --api.
const defaultAPI = "127.0.0.1:7300"

const exitCodesHelp = `EXIT CODES:
   0 done   1 usage or local fault   2 refused as invalid or not found
   3 conflict   4 no quorum of control VMs   5 outcome unknown, send again with
   the same --request-id   6 the rollout was rolled back or failed`

// Operator returns the command line of vpctl.
func Operator() *cli.Command {
	return &cli.Command{
		Name:            "vpctl",
		Usage:           "write, read and watch the resources of vanillapulley",
		Version:         Version,
		HideHelpCommand: true,
		Description:     exitCodesHelp,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "api", Value: []string{defaultAPI}, Sources: cli.EnvVars("VPCTL_API"), Usage: "the API `ADDRESS` of a control VM; may be given for each"},
			&cli.DurationFlag{Name: "timeout", Value: 30 * time.Second, Usage: "how long to try"},
		},
		Commands: []*cli.Command{
			applyCommand(), getCommand(), watchCommand(), rolloutCommand(),
			rollbackCommand(), replaceCommand(), diffCommand(), historyCommand(), shiftCommand(), membersCommand(), statusCommand(),
			checkCommand(), explainCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "table", Usage: "`FORMAT`: table or json"}
}

func requestFlag() cli.Flag {
	return &cli.StringFlag{Name: "request-id", Usage: "the `ID` of this request; a resend with the same one gets the first answer"}
}

func connect(parent context.Context, c *cli.Command) (*client.Client, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(parent, c.Duration("timeout"))
	return client.New(c.StringSlice("api")), ctx, cancel
}

func printJSON(c *cli.Command, value any) error {
	encoder := json.NewEncoder(c.Root().Writer)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(value))
}

// show reads from the API and prints the answer as JSON or as the given rows.
func show[T any](ctx context.Context, c *cli.Command, path string, rows func(answer T) []string) error {
	api, bounded, cancel := connect(ctx, c)
	defer cancel()
	var answer T
	if err := api.Get(bounded, path, &answer); err != nil {
		return err
	}
	if wantsJSON(c) {
		return printJSON(c, answer)
	}
	return table(c, rows(answer))
}

func wantsJSON(c *cli.Command) bool { return c.String("output") == "json" }

// table prints rows of tab-separated columns.
func table(c *cli.Command, rows []string) error {
	writer := tabwriter.NewWriter(c.Root().Writer, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(writer, row)
	}
	return trace.Wrap(writer.Flush())
}

// resourceFile is what apply and check read: resources without revisions are
// written over what is there now.
type resourceFile struct {
	Resources []wire.Resource `json:"resources"`
}

func readResources(file string) ([]wire.Resource, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var content resourceFile
	if err := wire.Strict(data, &content); err != nil {
		return nil, trace.BadParameter("%s: %s", file, err)
	}
	for _, resource := range content.Resources {
		if _, err := resource.Domain(); err != nil {
			return nil, trace.BadParameter("%s: %s", file, err)
		}
	}
	return content.Resources, nil
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:        "apply",
		Usage:       "write the resources of a file, all or none",
		Description: "Example: vpctl apply -f examples/resources.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Required: true, Usage: "the JSON `FILE` of resources"},
			requestFlag(), outputFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			resources, err := readResources(c.String("file"))
			if err != nil {
				return err
			}
			content := wire.Must(resources)
			api, bounded, cancel := connect(ctx, c)
			defer cancel()
			var present wire.ResourceList
			if err := api.Get(bounded, "/v1/resources", &present); err != nil {
				return err
			}
			body := wire.ApplyRequest{Resources: withRevisions(resources, present)}
			var result wire.Result
			identity := client.Request{ID: c.String("request-id"), Content: string(content)}
			if err := api.Post(bounded, "/v1/apply", identity, body, &result); err != nil {
				return err
			}
			if wantsJSON(c) {
				return printJSON(c, result)
			}
			_, _ = fmt.Fprintf(c.Root().Writer, "accepted %d resources as version %d\n", len(resources), result.Version)
			return nil
		},
	}
}

// withRevisions bases the resources that state no revision on the present
// ones.
func withRevisions(resources []wire.Resource, present wire.ResourceList) []wire.Resource {
	revisions := map[wire.Key]uint64{}
	for _, resource := range present.Resources {
		revisions[wire.Key{Kind: resource.Kind, Name: resource.Name}] = resource.Revision
	}
	for i, resource := range resources {
		if resource.Revision == 0 {
			resources[i].Revision = revisions[wire.Key{Kind: resource.Kind, Name: resource.Name}]
		}
	}
	return resources
}

func getCommand() *cli.Command {
	return &cli.Command{
		Name:        "get",
		Usage:       "read resources, fresh from a quorum",
		ArgsUsage:   "[KIND [NAME]]",
		Description: "Examples: vpctl get; vpctl get route; vpctl get -o json rollout timetable",
		Flags:       []cli.Flag{outputFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			path := strings.Join(append([]string{"/v1/resources"}, c.Args().Slice()...), "/")
			return show(ctx, c, path, rowsOf)
		},
	}
}

func rowsOf(list wire.ResourceList) []string {
	rows := []string{"KIND\tNAME\tREVISION\tSPEC"}
	for _, resource := range list.Resources {
		spec := string(resource.Spec)
		if line, ok := rolloutLine(resource); ok {
			spec = line
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%d\t%s", resource.Kind, resource.Name, resource.Revision, spec))
	}
	return rows
}

// rolloutLine describes a rollout's latest step.
func rolloutLine(resource wire.Resource) (string, bool) {
	rollout, ok := asRollout(resource)
	if !ok {
		return "", false
	}
	last := rollout.Last()
	return fmt.Sprintf("%s -> %s: %s at %.1f%%, %s", rollout.From(), rollout.To(), last.State, float64(last.Share)/10, last.Cause), true
}

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

// follow prints changes; with a route it ends with the route's rollout.
func follow(ctx context.Context, c *cli.Command, api *client.Client, from uint64, route string) error {
	for {
		var list wire.ResourceList
		if err := api.Watch(ctx, from, &list); err != nil {
			return err
		}
		from = max(from, list.Version)
		for _, resource := range list.Resources {
			if route != "" && (resource.Kind != string(rsrc.KindRollout) || resource.Name != route) {
				continue
			}
			if err := printChange(c, resource); err != nil {
				return err
			}
			if rollout, ok := asRollout(resource); ok && route != "" && rollout.Last().State.Ended() {
				return ending(rollout)
			}
		}
	}
}

func printChange(c *cli.Command, resource wire.Resource) error {
	if wantsJSON(c) {
		return trace.Wrap(json.NewEncoder(c.Root().Writer).Encode(resource))
	}
	line, ok := rolloutLine(resource)
	if !ok {
		line = string(resource.Spec)
	}
	_, err := fmt.Fprintf(c.Root().Writer, "%d %s/%s %s\n", resource.Revision, resource.Kind, resource.Name, line)
	return trace.Wrap(err)
}

func ending(rollout rsrc.Rollout) error {
	if last := rollout.Last(); last.State != rsrc.StateFinished {
		return &rolledBackError{state: string(last.State), cause: last.Cause}
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
			requestFlag(), outputFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			route, err := oneArgument(c, "ROUTE")
			if err != nil {
				return err
			}
			by, err := parseTime(c.String("by"), time.Now())
			if err != nil {
				return err
			}
			api, bounded, cancel := connect(ctx, c)
			defer cancel()
			var result wire.Result
			body := wire.RolloutRequest{Route: route, To: c.String("to"), By: by}
			identity := client.Request{ID: c.String("request-id"), Content: strings.Join([]string{route, body.To, c.String("by")}, " ")}
			if err := api.Post(bounded, "/v1/rollouts", identity, body, &result); err != nil {
				return err
			}
			if wantsJSON(c) {
				if err := printJSON(c, result); err != nil {
					return err
				}
			} else {
				_, _ = fmt.Fprintf(c.Root().Writer, "accepted as version %d, due %s\n", result.Version, by.Format(time.RFC3339))
			}
			if !c.Bool("wait") {
				return nil
			}
			return follow(ctx, c, api, result.Version-1, route)
		},
	}
}

// oneArgument returns the only argument. Flags after it are refused rather
// than taken for more arguments.
func oneArgument(c *cli.Command, name string) (string, error) {
	if c.NArg() != 1 {
		return "", trace.BadParameter("give exactly one %s", name)
	}
	return c.Args().First(), nil
}

// parseTime reads a time of day, a full time or a duration from now.
func parseTime(text string, now time.Time) (time.Time, error) {
	if duration, err := time.ParseDuration(text); err == nil {
		return now.Add(duration), nil
	}
	if full, err := time.Parse(time.RFC3339, text); err == nil {
		return full, nil
	}
	clock, err := time.ParseInLocation("15:04", text, now.Location())
	if err != nil {
		return time.Time{}, trace.BadParameter("--by: %q is not a time such as 17:00, 2026-01-31T17:00:00Z or 2h", text)
	}
	by := time.Date(now.Year(), now.Month(), now.Day(), clock.Hour(), clock.Minute(), 0, 0, now.Location())
	if by.Before(now) {
		by = by.AddDate(0, 0, 1)
	}
	return by, nil
}

func rollbackCommand() *cli.Command {
	return &cli.Command{
		Name:        "rollback",
		Usage:       "take a route's rollout back",
		ArgsUsage:   "ROUTE",
		Description: "Example: vpctl rollback timetable --cause \"wrong fonts\"",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "cause", Usage: "why, for those who watch"},
			requestFlag(), outputFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			route, err := oneArgument(c, "ROUTE")
			if err != nil {
				return err
			}
			api, bounded, cancel := connect(ctx, c)
			defer cancel()
			var result wire.Result
			body := wire.RollbackRequest{Route: route, Cause: c.String("cause")}
			if err := api.Post(bounded, "/v1/rollbacks", client.Request{ID: c.String("request-id")}, body, &result); err != nil {
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

func membersCommand() *cli.Command {
	return &cli.Command{
		Name:  "members",
		Usage: "list the nodes and what is beside them",
		Flags: []cli.Flag{outputFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return show(ctx, c, "/v1/members", memberRows)
		},
	}
}

func memberRows(list wire.MemberList) []string {
	rows := []string{"NAME\tZONE\tSTATE\tSERVICE\tVERSION\tSLOTS\tGATE"}
	for _, member := range list.Members {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%d\t%s", member.Name, member.Zone, member.State, member.Service, member.Version, member.Slots, member.Gate))
	}
	return rows
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "tell who leads, which version is accepted and which is in force everywhere",
		Flags: []cli.Flag{outputFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return show(ctx, c, "/v1/status", statusRows)
		},
	}
}

func statusRows(status wire.Status) []string {
	rows := []string{
		fmt.Sprintf("leader\t%s (term %d)", status.Leader, status.Term),
		fmt.Sprintf("accepted version\t%d", status.Version),
		fmt.Sprintf("in force on all %d nodes\t%d", status.Nodes, status.InForce),
	}
	for _, replica := range status.Replicas {
		role := "learner"
		if replica.Voter {
			role = "voter"
		}
		rows = append(rows, fmt.Sprintf("%s %s\t%s %s", role, replica.Name, replica.ID, replica.Address))
	}
	return rows
}
