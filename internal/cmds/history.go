package cmds

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/vanillapulley/vanillapulley/internal/wire"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

func historyCommand() *cli.Command {
	return &cli.Command{
		Name:        "history",
		Usage:       "list the latest accepted changes, oldest first",
		Description: "Example: vpctl history",
		Flags:       []cli.Flag{outputFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return getAndPrint(ctx, c, "/v1/history", historyRows)
		},
	}
}

func historyRows(history wire.History) []string {
	rows := []string{"VERSION\tAT\tNUMBER\tREQUEST\tCHANGES"}
	for _, change := range history.Changes {
		number := ""
		if change.Number > 0 {
			number = fmt.Sprint(change.Number)
		}
		rows = append(rows, fmt.Sprintf("%d\t%s\t%s\t%s\t%s", change.Version, change.At.Format(time.RFC3339Nano), number, change.Request, formatChanges(change)))
	}
	return rows
}

// formatChanges lists the resources that a change wrote (+) and removed (-).
func formatChanges(change wire.HistoryEntry) string {
	var parts []string
	for _, key := range change.Put {
		parts = append(parts, "+"+key.Kind+"/"+key.Name)
	}
	for _, key := range change.Removed {
		parts = append(parts, "-"+key.Kind+"/"+key.Name)
	}
	if change.More > 0 {
		parts = append(parts, fmt.Sprintf("and %d more", change.More))
	}
	return strings.Join(parts, " ")
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:        "diff",
		Usage:       "tell what replacing all services, routes and accounts by a file's would change",
		Description: "It changes nothing.\nExample: vpctl diff -f examples/whole.json",
		Flags: []cli.Flag{
			fileFlag("the JSON `FILE`"),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			body, err := readReplaceRequest(c.String("file"))
			if err != nil {
				return err
			}
			api, timeoutCtx, cancel := newClient(ctx, c)
			defer cancel()
			var current wire.ResourceList
			if err := api.Get(timeoutCtx, "/v1/resources", &current); err != nil {
				return err
			}
			rows, err := diffRows(body, current)
			if err != nil {
				return err
			}
			return printTable(c, rows)
		},
	}
}

// diffRows lists the services, routes and accounts that a replace request would add (+),
// remove (-) or modify (~). The last row reports a conflict if the base of the
// request is not the number of the current configuration. That number is part of
// the edition, a resource that describes the last replacement.
func diffRows(request wire.ReplaceRequest, list wire.ResourceList) ([]string, error) {
	current := map[wire.Key]wire.Resource{}
	currentNumber := uint64(0)
	for _, resource := range list.Resources {
		value, err := resource.Domain()
		if err != nil {
			return nil, trace.Wrap(err)
		}
		switch value := value.(type) {
		case rsrc.Edition:
			currentNumber = value.Number()
		case rsrc.Service, rsrc.Route, rsrc.Account:
			current[wire.Key{Kind: resource.Kind, Name: resource.Name}] = resource
		}
	}
	var rows []string
	for _, resource := range request.Resources {
		key := wire.Key{Kind: resource.Kind, Name: resource.Name}
		value, err := resource.Domain()
		if err != nil {
			return nil, trace.Wrap(err)
		}
		desired := wire.FromResource(value)
		old, exists := current[key]
		delete(current, key)
		switch {
		case !exists:
			rows = append(rows, fmt.Sprintf("+ %s/%s\t%s", key.Kind, key.Name, specLine(desired)))
		case !bytes.Equal(old.Spec, desired.Spec):
			rows = append(rows, fmt.Sprintf("~ %s/%s\t%s\twas %s", key.Kind, key.Name, specLine(desired), specLine(old)))
		}
	}
	for key := range current {
		rows = append(rows, fmt.Sprintf("- %s/%s", key.Kind, key.Name))
	}
	slices.Sort(rows)
	if request.Base != currentNumber {
		rows = append(rows, fmt.Sprintf("conflict: the configuration in force is %d, the file builds on %d", currentNumber, request.Base))
	}
	return rows, nil
}
