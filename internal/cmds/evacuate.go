package cmds

import (
	"context"
	"fmt"
	"net/url"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/vanillapulley/vanillapulley/internal/ctrl"
	"github.com/vanillapulley/vanillapulley/internal/wire"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

func evacuateCommand() *cli.Command {
	return &cli.Command{
		Name:        "evacuate",
		Usage:       "send no calls to the targets of a zone, or take the zone back",
		ArgsUsage:   "[ZONE]",
		Description: "Examples: vpctl evacuate zone-a; vpctl evacuate --end zone-a; vpctl evacuate --list",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "end", Usage: "end the evacuation of the zone"},
			&cli.BoolFlag{Name: "list", Usage: "list the latest order on each zone"},
			outputFlag(),
		},
		Action: evacuate,
	}
}

func evacuate(ctx context.Context, c *cli.Command) error {
	if c.Bool("list") {
		if c.NArg() > 0 || c.Bool("end") {
			return trace.BadParameter("--list takes neither a ZONE nor --end")
		}
		return getAndPrint(ctx, c, ctrl.PathEvacuations, evacuationRows)
	}
	zone, err := oneArgument(c, "ZONE")
	if err != nil {
		return err
	}
	api, timeoutCtx, cancel := newClient(ctx, c)
	defer cancel()
	send, done := api.Put, "evacuated"
	if c.Bool("end") {
		send, done = api.Delete, "taken back"
	}
	var result wire.Result
	if err := send(timeoutCtx, ctrl.PathEvacuations+"/"+url.PathEscape(zone), &result); err != nil {
		return err
	}
	if wantsJSON(c) {
		return printJSON(c, result)
	}
	_, _ = fmt.Fprintf(c.Root().Writer, "zone %s %s as of version %d\n", zone, done, result.Version)
	return nil
}

func evacuationRows(list wire.ResourceList) []string {
	rows := []string{"ZONE\tSTATE\tVERSION"}
	for _, resource := range list.Resources {
		if line, ok := evacuationLine(resource); ok {
			rows = append(rows, fmt.Sprintf("%s\t%s\t%d", resource.Name, line, resource.Revision))
		}
	}
	return rows
}

// evacuationLine tells the state of a zone. It returns false if the resource is not a
// valid evacuation.
func evacuationLine(resource wire.Resource) (string, bool) {
	if resource.Kind != string(rsrc.KindEvacuation) {
		return "", false
	}
	value, err := resource.Domain()
	if err != nil {
		return "", false
	}
	if evacuation, ok := value.(rsrc.Evacuation); ok && evacuation.Active() {
		return "evacuated", true
	}
	return "finished", true
}
