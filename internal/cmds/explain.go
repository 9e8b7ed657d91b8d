package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/vanillapulley/vanillapulley/internal/trail"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "follow a call, an upstream, a rollout or a configuration through logs",
		ArgsUsage: "VALUE LOG...",
		Description: "Prints every line of the logs that has the value in one of its fields, in the order of time.\n" +
			"Example: vpctl explain 9c41d07be2a35f68 node-*.log control-*.log",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() < 2 {
				return trace.BadParameter("give a VALUE and at least one LOG")
			}
			logTrail := trail.New(c.Args().First())
			for _, name := range c.Args().Tail() {
				if err := readLog(logTrail, name); err != nil {
					return err
				}
			}
			return printMatches(c, logTrail)
		},
	}
}

// readLog adds the matching lines of a log file. If a line does not name its
// process, the process is named after the file, without its extension.
func readLog(logTrail *trail.Trail, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	base := filepath.Base(name)
	return errors.Join(logTrail.Read(strings.TrimSuffix(base, filepath.Ext(base)), file), file.Close())
}

// printMatches prints the matching lines in order of time, the number of lines
// omitted because there were too many matches, and the number of lines skipped
// because they were too long or not log lines of vanillapulley.
func printMatches(c *cli.Command, logTrail *trail.Trail) error {
	out := c.Root().Writer
	matches := logTrail.Matches()
	for _, match := range matches {
		_, _ = fmt.Fprintf(out, "%s  %-24s %-8s %s  %s\n",
			match.Line.At.Format(time.RFC3339Nano), match.Process, match.Line.Logger, match.Line.Message, match.Details())
	}
	if logTrail.Omitted() > 0 {
		_, _ = fmt.Fprintf(out, "%d more lines are left out\n", logTrail.Omitted())
	}
	if logTrail.Skipped() > 0 {
		_, _ = fmt.Fprintf(out, "%d lines were none of vanillapulley's\n", logTrail.Skipped())
	}
	if len(matches) == 0 {
		return trace.NotFound("no line has this value; only a sample of the ordinary calls is logged")
	}
	return nil
}
