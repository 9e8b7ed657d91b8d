package cmds

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"strings"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/vanillapulley/vanillapulley/internal/wire"
	"github.com/vanillapulley/vanillapulley/pkg/client"
)

// readResources reads a resource file and checks each resource on its own.
func readResources(file string) ([]wire.Resource, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var content wire.ResourceFile
	if err := wire.DecodeStrict(data, &content); err != nil {
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
			fileFlag("the JSON `FILE` of resources"),
			requestIDFlag(), outputFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			resources, err := readResources(c.String("file"))
			if err != nil {
				return err
			}
			// The control plane rejects a request whose ID was used with another
			// content. The content is encoded before the current revisions are
			// filled in, because a resend may find other revisions.
			content := wire.MustEncode(resources)
			api, timeoutCtx, cancel := newClient(ctx, c)
			defer cancel()
			var current wire.ResourceList
			if err := api.Get(timeoutCtx, "/v1/resources", &current); err != nil {
				return err
			}
			body := wire.ApplyRequest{Resources: withRevisions(resources, current)}
			var result wire.Result
			request := client.Request{ID: c.String("request-id"), Content: contentHash(content)}
			if err := api.Post(timeoutCtx, "/v1/apply", request, body, &result); err != nil {
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

// contentHash returns a hash that identifies the content of a request. The content
// itself may contain keys of accounts and must not be sent in a header.
func contentHash(content []byte) string {
	hash := sha256.Sum256(content)
	return hex.EncodeToString(hash[:])
}

// withRevisions sets the revision of each resource that has none to the current
// revision of the resource with the same key, or leaves it at 0 if there is no
// such resource.
func withRevisions(resources []wire.Resource, current wire.ResourceList) []wire.Resource {
	revisions := map[wire.Key]uint64{}
	for _, resource := range current.Resources {
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
			return getAndPrint(ctx, c, path, resourceRows)
		},
	}
}

// resourceRows formats resources as table rows.
func resourceRows(list wire.ResourceList) []string {
	rows := []string{"KIND\tNAME\tREVISION\tSPEC"}
	for _, resource := range list.Resources {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%d\t%s", resource.Kind, resource.Name, resource.Revision, specLine(resource)))
	}
	return rows
}
