package cmds

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/vanillapulley/vanillapulley/internal/wire"
)

func membersCommand() *cli.Command {
	return &cli.Command{
		Name:  "members",
		Usage: "list the nodes and what is beside them",
		Flags: []cli.Flag{outputFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return getAndPrint(ctx, c, "/v1/members", memberRows)
		},
	}
}

func memberRows(list wire.MemberList) []string {
	rows := []string{"NAME\tZONE\tSTATE\tSERVICE\tVERSION\tSLOTS\tGATE\tLIMIT"}
	for _, member := range list.Members {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s", member.Name, member.Zone, member.State, member.Service, member.Version, member.Slots, member.Gate, limitText(member)))
	}
	return rows
}

// limitText describes the rate limit of the upstream beside a node.
func limitText(member wire.NodeMember) string {
	text := "-"
	if member.Limit != nil {
		since := time.UnixMilli(member.LimitedSince).UTC().Format(time.RFC3339)
		text = fmt.Sprintf("%g/s since %s, from the %s", *member.Limit, since, member.LimitSource)
	}
	if member.Draining {
		text += ", draining"
	}
	return text
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "tell who leads, which version is accepted and which is in force everywhere",
		Flags: []cli.Flag{outputFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return getAndPrint(ctx, c, "/v1/status", statusRows)
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
