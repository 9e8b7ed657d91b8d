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

// lookEvery is the pause between two looks at the settings file, which may
// change without a signal.
const lookEvery = time.Second

// watched is a settings file that is read again when it changes.
type watched[T any] struct {
	file  string
	read  func(file string) (T, error)
	apply func(settings T)
	log   logr.Logger
	last  []byte
}

// watch applies the settings file whenever it has changed, until the context
// ends. Settings that do not read change nothing.
func (watched *watched[T]) watch(ctx context.Context, hangups <-chan os.Signal) error {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
			watched.log.Info("asked to read the settings again")
		case <-ticker.C:
		}
		watched.look()
	}
}

func (watched *watched[T]) look() {
	data, err := os.ReadFile(watched.file)
	if err != nil {
		watched.log.Error(err, "settings cannot be read; the present ones stay")
		return
	}
	if bytes.Equal(data, watched.last) {
		return
	}
	watched.last = data
	settings, err := watched.read(watched.file)
	if err != nil {
		watched.log.Error(err, "settings refused; the present ones stay")
		return
	}
	watched.apply(settings)
}

// reloading runs a daemon while its settings file is watched. The signal is
// taken before the daemon starts, so that it never ends the process.
func reloading[T any](ctx context.Context, watched *watched[T], run func(ctx context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, unix.SIGHUP)
	defer signal.Stop(hangups)
	data, err := os.ReadFile(watched.file)
	if err != nil {
		cancel()
		return err
	}
	watched.last = data
	group := tasks.New(1)
	group.Go(ctx, "settings", func(ctx context.Context) error { return watched.watch(ctx, hangups) })
	err = run(ctx)
	cancel()
	group.Wait()
	return err
}
