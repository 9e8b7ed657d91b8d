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
			matches := trail.New(c.Args().First())
			for _, name := range c.Args().Tail() {
				if err := readLog(matches, name); err != nil {
					return err
				}
			}
			return printMatches(c, matches)
		},
	}
}

// readLog adds the matching lines of a log file. If a line does not name its
// process, the process is named after the file, without its extension.
func readLog(matches *trail.Trail, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	base := filepath.Base(name)
	return errors.Join(matches.Read(strings.TrimSuffix(base, filepath.Ext(base)), file), file.Close())
}

// printMatches prints the matching lines in order of time, the number of lines
// omitted because there were too many matches, and the number of lines skipped
// because they are not log lines of vanillapulley.
func printMatches(c *cli.Command, matches *trail.Trail) error {
	out := c.Root().Writer
	steps := matches.Matches()
	for _, step := range steps {
		_, _ = fmt.Fprintf(out, "%s  %-24s %-8s %s  %s\n",
			step.Line.At.Format(time.RFC3339Nano), step.Process, step.Line.Logger, step.Line.Message, step.Details())
	}
	if matches.Omitted() > 0 {
		_, _ = fmt.Fprintf(out, "%d more lines are left out\n", matches.Omitted())
	}
	if matches.Skipped() > 0 {
		_, _ = fmt.Fprintf(out, "%d lines were none of vanillapulley's\n", matches.Skipped())
	}
	if len(steps) == 0 {
		return trace.NotFound("no line has this value; only a sample of the ordinary calls is logged")
	}
	return nil
}
