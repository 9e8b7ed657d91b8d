package cmds

import "github.com/urfave/cli/v2"

func demoCommand() *cli.Command {
	return &cli.Command{Name: "demo", Usage: "show a good and a bad rollout on this machine", Action: func(*cli.Context) error { return nil }}
}
