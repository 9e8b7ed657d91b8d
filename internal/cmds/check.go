package cmds

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/vanillapulley/vanillapulley/internal/config"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "check settings and resources without a control VM",
		Description: "Example: vpctl check --control c1.json --node n1.json --resources resources.json",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "control", Usage: "a control VM's settings `FILE`"},
			&cli.StringSliceFlag{Name: "node", Usage: "a node's settings `FILE`"},
			&cli.StringSliceFlag{Name: "resources", Usage: "a `FILE` of resources that stands alone"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			var checked []string
			for _, file := range c.StringSlice("control") {
				if _, err := config.ReadControl(file); err != nil {
					return err
				}
				checked = append(checked, filepath.Base(file))
			}
			for _, file := range c.StringSlice("node") {
				if _, err := config.ReadNode(file); err != nil {
					return err
				}
				checked = append(checked, filepath.Base(file))
			}
			for _, file := range c.StringSlice("resources") {
				if err := checkResources(file); err != nil {
					return err
				}
				checked = append(checked, filepath.Base(file))
			}
			if len(checked) == 0 {
				return trace.BadParameter("name something to check: --control, --node or --resources")
			}
			_, _ = fmt.Fprintf(c.Root().Writer, "good: %s\n", strings.Join(checked, ", "))
			return nil
		},
	}
}

// checkResources checks the resources of a file as a change to an empty
// configuration, so the file must contain everything that they refer to.
func checkResources(file string) error {
	resources, err := readResources(file)
	if err != nil {
		return err
	}
	change := rsrc.Change{}
	for _, resource := range resources {
		value, err := resource.Domain()
		if err != nil {
			return err
		}
		change.Put = append(change.Put, value)
	}
	_, err = rsrc.EmptyConfig().Apply(1, change)
	return trace.Wrap(err)
}
