package cmds

import (
	"context"
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/vanillapulley/vanillapulley/internal/wire"
	"github.com/vanillapulley/vanillapulley/pkg/client"
)

func replaceCommand() *cli.Command {
	return &cli.Command{
		Name:        "replace",
		Usage:       "replace all services, routes and accounts by those of a file",
		Description: "The file names its own number and the one it builds on; sending it again is safe.\nExample: vpctl replace -f examples/whole.json",
		Flags: []cli.Flag{
			fileFlag("the JSON `FILE`"),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			body, err := readReplaceRequest(c.String("file"))
			if err != nil {
				return err
			}
			return postAndPrint(ctx, c, "/v1/replace", body, fmt.Sprintf("configuration %d is accepted", body.Number))
		},
	}
}

// readReplaceRequest reads the file of a complete configuration.
func readReplaceRequest(file string) (wire.ReplaceRequest, error) {
	var body wire.ReplaceRequest
	data, err := os.ReadFile(file)
	if err != nil {
		return body, trace.ConvertSystemError(err)
	}
	if err := wire.DecodeStrict(data, &body); err != nil {
		return body, trace.BadParameter("%s: %s", file, err)
	}
	return body, nil
}

func shiftCommand() *cli.Command {
	return &cli.Command{
		Name:        "shift",
		Usage:       "roll a whole service out to another version",
		ArgsUsage:   "SERVICE",
		Description: "Example: vpctl shift depot-archive --to v2 --within 15m",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "to", Required: true, Usage: "the new `VERSION`, as its targets announce it"},
			&cli.DurationFlag{Name: "within", Required: true, Usage: "the time allowed"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			service, err := oneArgument(c, "SERVICE")
			if err != nil {
				return err
			}
			body := wire.ShiftRequest{Service: service, To: c.String("to"), Within: c.Duration("within").String()}
			return postAndPrint(ctx, c, "/v1/shifts", body, "accepted; vpctl get rollout services/"+service+" tells how it goes")
		},
	}
}

// postAndPrint sends a request to the API and prints the message when it is
// accepted.
func postAndPrint(ctx context.Context, c *cli.Command, path string, body any, message string) error {
	if _, err := post[wire.Accepted](ctx, c, path, client.Request{}, body); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(c.Root().Writer, message)
	return nil
}
