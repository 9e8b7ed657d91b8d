// Package logs makes the structured logger of a process: one JSON object a
// line, a name for each layer, and a level that can be set for each layer.
package logs

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// Layers names the layers that log.
var Layers = []string{"raft", "api", "distr", "member", "rollout", "gate", "calls", "daemon"}

// Levels gives the verbosity of each layer: 0 tells changes of state, 1 adds
// connections, 2 adds messages. The empty name is the default.
type Levels map[string]int

// Check refuses unknown layers and negative levels.
func (levels Levels) Check() error {
	known := " " + strings.Join(Layers, " ") + " "
	for layer, level := range levels {
		if layer != "" && !strings.Contains(known, " "+layer+" ") {
			return fmt.Errorf("layer %q is unknown: use one of%s", layer, strings.TrimRight(known, " "))
		}
		if level < 0 {
			return fmt.Errorf("level of layer %q must not be negative", layer)
		}
	}
	return nil
}

// Factory makes the loggers of one process.
type Factory struct {
	levels Levels
	lock   *sync.Mutex
	out    io.Writer
}

// New returns a factory that writes lines to out.
func New(out io.Writer, levels Levels) *Factory {
	return &Factory{levels: levels, lock: &sync.Mutex{}, out: out}
}

// Discard returns a factory whose loggers write nothing.
func Discard() *Factory { return New(io.Discard, nil) }

// Layer returns the logger of a layer.
func (factory *Factory) Layer(name string) logr.Logger {
	level, ok := factory.levels[name]
	if !ok {
		level = factory.levels[""]
	}
	options := funcr.Options{LogTimestamp: true, TimestampFormat: time.RFC3339Nano, Verbosity: level}
	return funcr.NewJSON(factory.write, options).WithName(name)
}

func (factory *Factory) write(line string) {
	factory.lock.Lock()
	defer factory.lock.Unlock()
	_, _ = fmt.Fprintln(factory.out, line)
}
