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

// settingsPollInterval is the pause between two looks at the settings file, which may
// change without a signal.
const settingsPollInterval = time.Second

// settingsFile is a settings file that is read again when it changes.
type settingsFile[T any] struct {
	file     string
	read     func(file string) (T, error)
	apply    func(settings T)
	log      logr.Logger
	lastData []byte
}

// watch applies the settings file whenever it has changed, until the context
// ends. Settings that do not read change nothing.
func (settingsFile *settingsFile[T]) watch(ctx context.Context, hangups <-chan os.Signal) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
			settingsFile.log.Info("asked to read the settings again")
		case <-ticker.C:
		}
		settingsFile.reloadIfChanged()
	}
}

func (settingsFile *settingsFile[T]) reloadIfChanged() {
	data, err := os.ReadFile(settingsFile.file)
	if err != nil {
		settingsFile.log.Error(err, "settings cannot be read; the present ones stay")
		return
	}
	if bytes.Equal(data, settingsFile.lastData) {
		return
	}
	settingsFile.lastData = data
	settings, err := settingsFile.read(settingsFile.file)
	if err != nil {
		settingsFile.log.Error(err, "settings refused; the present ones stay")
		return
	}
	settingsFile.apply(settings)
}

// runWithReload runs a daemon while its settings file is watched. The signal is
// taken before the daemon starts, so that it never ends the process.
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
