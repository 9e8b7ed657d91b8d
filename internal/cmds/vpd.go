// Package cmds implements the commands of vpd and vpctl.
package cmds

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sys/unix"

	"github.com/vanillapulley/vanillapulley/internal/config"
	"github.com/vanillapulley/vanillapulley/internal/ctrl"
	"github.com/vanillapulley/vanillapulley/internal/logs"
	"github.com/vanillapulley/vanillapulley/internal/node"
	"github.com/vanillapulley/vanillapulley/internal/sample"
	"github.com/vanillapulley/vanillapulley/internal/stats"
	"github.com/vanillapulley/vanillapulley/platform"
)

// Version is the version of vpd and vpctl.
const Version = "0.1.0"

// DaemonCommand returns the root command of vpd.
func DaemonCommand() *cli.Command {
	return &cli.Command{
		Name:            "vpd",
		Usage:           "the daemons of vanillapulley",
		Version:         Version,
		HideHelpCommand: true,
		Commands:        []*cli.Command{controlCommand(), nodeCommand(), upstreamCommand(), demoCommand()},
		ExitErrHandler:  func(context.Context, *cli.Command, error) {},
	}
}

// Main runs a command until it ends, or cancels it on SIGINT or SIGTERM. It prints
// an error as one line and returns the exit code.
func Main(app *cli.Command, args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, unix.SIGTERM)
	defer stop()
	err := app.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintf(app.ErrWriter, "%s: %s\n", app.Name, oneLine(err))
	return exitCode(err)
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Required: true, Usage: "the JSON settings `FILE`"}
}

func controlCommand() *cli.Command {
	return &cli.Command{
		Name:  "control",
		Usage: "run the daemon of a control VM",
		Flags: []cli.Flag{
			settingsFlag(),
			&cli.BoolFlag{Name: "init", Usage: "make a new control plane in an empty data folder; only on the first control VM, once"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			settings, err := config.ReadControl(c.String("settings"))
			if err != nil {
				return err
			}
			if c.Bool("init") {
				if err := ctrl.Init(settings); err != nil {
					return annotateSettingError(err, c.String("settings"), "data")
				}
			}
			factory := logs.New(c.Root().Writer, settings.Log)
			defer factory.Close()
			deps := ctrl.Deps{
				Settings: settings,
				Logs:     factory,
				Stats:    stats.New(),
				Now:      time.Now,
				Random:   newRandom,
			}
			if settings.Interface == config.InterfacePlatform {
				deps.API = platform.Control
			}
			debug.SetMemoryLimit(settings.HeapLimit())
			control, err := ctrl.New(deps)
			if err != nil {
				return err
			}
			file := &settingsFile[config.Control]{
				file: c.String("settings"), read: config.ReadControl, apply: control.Reload, log: deps.Logs.Layer("daemon"),
			}
			return annotateSettingError(runWithReload(ctx, file, control.Run), file.file, "")
		},
	}
}

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name:  "node",
		Usage: "run the node beside an upstream",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			settings, err := config.ReadNode(c.String("settings"))
			if err != nil {
				return err
			}
			factory := logs.New(c.Root().Writer, settings.Log)
			defer factory.Close()
			deps := node.Deps{
				Settings: settings,
				Logs:     factory,
				Stats:    stats.New(),
				Now:      time.Now,
				Random:   newRandom,
			}
			if settings.Interface == config.InterfacePlatform {
				deps.Dialect, deps.Admin = platform.Dialect{}, platform.Node
			}
			debug.SetMemoryLimit(settings.HeapLimit())
			daemon, err := node.New(deps)
			if err != nil {
				return err
			}
			file := &settingsFile[config.Node]{
				file: c.String("settings"), read: config.ReadNode, apply: daemon.Reload, log: deps.Logs.Layer("daemon"),
			}
			return annotateSettingError(runWithReload(ctx, file, daemon.Run), file.file, "")
		},
	}
}

// annotateSettingError sets the settings file of a config.Error in place. It
// converts any other error to a config.Error of the given key, or returns it
// unchanged if the key is empty. It returns nil if err is nil.
func annotateSettingError(err error, file, key string) error {
	var settingErr *config.Error
	if errors.As(err, &settingErr) {
		settingErr.File = file
		return err
	}
	if err != nil && key != "" {
		return &config.Error{File: file, Key: key, Reason: oneLine(err)}
	}
	return err
}

func upstreamCommand() *cli.Command {
	return &cli.Command{
		Name:  "upstream",
		Usage: "run a small upstream for trials",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Required: true, Usage: "the service it belongs to"},
			&cli.StringFlag{Name: "version", Required: true, Usage: "the upstream version it runs"},
			&cli.StringFlag{Name: "admin", Required: true, Usage: "the admin `ADDRESS` of the node beside it"},
			&cli.StringFlag{Name: "address", Value: "127.0.0.1:0", Usage: "the `ADDRESS` to listen on"},
			&cli.IntFlag{Name: "slots", Value: 12, Usage: "how many calls it runs at once"},
			&cli.IntFlag{Name: "fail", Usage: "how many of a thousand calls fail"},
			&cli.DurationFlag{Name: "delay", Usage: "how long each call takes"},
			&cli.FloatFlag{Name: "limit", Usage: "how many calls per second it says that it takes; 0 says nothing"},
			&cli.DurationFlag{Name: "ttl", Value: 3 * time.Second, Usage: "how long an announcement holds"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return sample.New(sample.Settings{
				Service:        c.String("service"),
				Version:        c.String("version"),
				Address:        c.String("address"),
				Admin:          c.String("admin"),
				Slots:          c.Int("slots"),
				FailPermille:   c.Int("fail"),
				Delay:          c.Duration("delay"),
				TTL:            c.Duration("ttl"),
				Now:            time.Now,
				Random:         newRandom(),
				LimitPerSecond: func() float64 { return c.Float("limit") },
			}).Run(ctx)
		},
	}
}
