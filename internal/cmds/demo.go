package cmds

import (
	"context"

	"github.com/urfave/cli/v3"
)

func demoCommand() *cli.Command {
	return &cli.Command{Name: "demo", Usage: "show a good and a bad rollout on this machine", Action: func(context.Context, *cli.Command) error { return nil }}
}
