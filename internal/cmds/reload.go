package cmds

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sys/unix"

	"github.com/vanillapulley/vanillapulley/internal/tasks"
)

// settingsPollInterval is the interval between two reads of the settings file. The
// file is polled because it may change without a SIGHUP.
const settingsPollInterval = time.Second

// settingsFile is a settings file that a daemon reloads when it changes.
type settingsFile[T any] struct {
	file     string
	read     func(file string) (T, error)
	apply    func(settings T)
	log      logr.Logger
	lastData []byte
}

// watch reloads the settings file on a SIGHUP and at every poll, if it has
// changed, until the context is canceled.
func (settingsFile *settingsFile[T]) watch(ctx context.Context, hangups <-chan os.Signal) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
			settingsFile.log.Info("received SIGHUP, checking the settings file for changes")
		case <-ticker.C:
		}
		settingsFile.reloadIfChanged()
	}
}

// reloadIfChanged applies the settings if the content of the file has changed.
// If the file cannot be read or is invalid, the current settings are kept.
func (settingsFile *settingsFile[T]) reloadIfChanged() {
	data, err := os.ReadFile(settingsFile.file)
	if err != nil {
		settingsFile.log.Error(err, "failed to read the settings file, keeping the current settings")
		return
	}
	if bytes.Equal(data, settingsFile.lastData) {
		return
	}
	settingsFile.lastData = data
	settings, err := settingsFile.read(settingsFile.file)
	if err != nil {
		settingsFile.log.Error(err, "invalid settings, keeping the current ones")
		return
	}
	settingsFile.apply(settings)
}

// runWithReload runs a daemon and reloads its settings file when it changes. It
// registers for SIGHUP before the daemon starts, because an unhandled SIGHUP
// terminates the process.
func runWithReload[T any](ctx context.Context, settingsFile *settingsFile[T], run func(ctx context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, unix.SIGHUP)
	defer signal.Stop(hangups)
	data, err := os.ReadFile(settingsFile.file)
	if err != nil {
		cancel()
		return err
	}
	settingsFile.lastData = data
	group := tasks.New(1)
	group.Go(ctx, "settings", func(ctx context.Context) error { return settingsFile.watch(ctx, hangups) })
	err = run(ctx)
	cancel()
	group.Wait()
	return err
}
