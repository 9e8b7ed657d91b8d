package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/vanillapulley/vanillapulley/pkg/client"
)

// defaultAPI is the address of the control VM that vpctl uses if neither
// --api nor VPCTL_API is set.
const defaultAPI = "127.0.0.1:7300"

const exitCodesHelp = `EXIT CODES:
   0 done   1 usage or local fault   2 refused as invalid or not found
   3 conflict   4 no quorum of control VMs   5 outcome unknown, send again with
   the same --request-id   6 the rollout was rolled back or failed`

// OperatorCommand returns the root command of vpctl.
func OperatorCommand() *cli.Command {
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
			rollbackCommand(), replaceCommand(), diffCommand(), historyCommand(), shiftCommand(), evacuateCommand(), membersCommand(), statusCommand(),
			checkCommand(), explainCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "table", Usage: "`FORMAT`: table or json"}
}

func requestIDFlag() cli.Flag {
	return &cli.StringFlag{Name: "request-id", Usage: "the `ID` of this request; a resend with the same one gets the first answer"}
}

// newClient returns a client for the API addresses, and a context that ends after
// --timeout.
func newClient(parent context.Context, c *cli.Command) (*client.Client, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(parent, c.Duration("timeout"))
	return client.New(c.StringSlice("api")), ctx, cancel
}

func printJSON(c *cli.Command, value any) error {
	encoder := json.NewEncoder(c.Root().Writer)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(value))
}

// getAndPrint reads from the API and prints the answer as JSON or as a table of
// the given rows.
func getAndPrint[T any](ctx context.Context, c *cli.Command, path string, rows func(answer T) []string) error {
	api, timeoutCtx, cancel := newClient(ctx, c)
	defer cancel()
	var answer T
	if err := api.Get(timeoutCtx, path, &answer); err != nil {
		return err
	}
	if wantsJSON(c) {
		return printJSON(c, answer)
	}
	return printTable(c, rows(answer))
}

// post sends a write request to the API and returns the answer.
func post[T any](ctx context.Context, c *cli.Command, path string, request client.Request, body any) (T, error) {
	api, timeoutCtx, cancel := newClient(ctx, c)
	defer cancel()
	var answer T
	err := api.Post(timeoutCtx, path, request, body, &answer)
	return answer, err
}

// fileFlag returns the required flag --file.
func fileFlag(usage string) cli.Flag {
	return &cli.StringFlag{Name: "file", Aliases: []string{"f"}, Required: true, Usage: usage}
}

func wantsJSON(c *cli.Command) bool { return c.String("output") == "json" }

// printTable prints rows of tab-separated columns with the columns aligned.
func printTable(c *cli.Command, rows []string) error {
	writer := tabwriter.NewWriter(c.Root().Writer, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(writer, row)
	}
	return trace.Wrap(writer.Flush())
}

// oneArgument returns the only argument, or an error if there is none or more than
// one. Otherwise, flags that follow "--" and therefore count as arguments would be
// ignored.
func oneArgument(c *cli.Command, name string) (string, error) {
	if c.NArg() != 1 {
		return "", trace.BadParameter("give exactly one %s", name)
	}
	return c.Args().First(), nil
}
