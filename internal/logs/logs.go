// Package logs makes the structured logger of a process: one JSON object a
// line, a name for each layer, and a level that can be set for each layer.
//
// Lines are queued and written by a goroutine of their own, so that a reader
// who does not keep up never delays a decision. Both the queue and the rate of
// lines are bounded; what is left out is counted and said.
package logs

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// Layers names the layers that log.
var Layers = []string{"raft", "api", "distr", "member", "rollout", "gate", "calls", "daemon"}

// LayerCalls is the layer with a line for calls; its volume follows the load.
const LayerCalls = "calls"

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

const (
	// queueCapacity bounds the lines that wait to be written: about a second's.
	queueCapacity = 1024
	// maxCallLinesPerSecond bounds the lines about calls; on-call engineers find a
	// failed call by its id as long as fewer than this fail on one node.
	maxCallLinesPerSecond = 200
	// flushTimeout bounds the writing of what is queued at the end.
	flushTimeout = 500 * time.Millisecond
)

// Factory makes the loggers of one process. It is safe for concurrent use.
type Factory struct {
	levels  Levels
	out     io.Writer
	queue   chan string
	dropped atomic.Uint64
	done    chan struct{}

	// lock guards the fields below.
	lock sync.Mutex
	// second and calls count the lines about calls in the present second.
	second    int64
	callLines int
	closed    bool
}

// New returns a factory that writes lines to out. Close ends it.
func New(out io.Writer, levels Levels) *Factory {
	factory := &Factory{levels: levels, out: out, queue: make(chan string, queueCapacity), done: make(chan struct{})}
	go factory.run()
	return factory
}

// Discard returns a factory whose loggers write nothing.
func Discard() *Factory { return New(io.Discard, nil) }

// run writes what is queued until the queue is closed.
func (factory *Factory) run() {
	defer close(factory.done)
	for line := range factory.queue {
		_, _ = io.WriteString(factory.out, line+"\n")
		if dropped := factory.dropped.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(factory.out, `{"logger":"logs","ts":%q,"level":0,"msg":"lines dropped","count":%d}`+"\n",
				time.Now().Format(time.RFC3339Nano), dropped)
		}
	}
}

// Close writes what is queued, but waits no longer than a bounded time.
func (factory *Factory) Close() {
	factory.lock.Lock()
	if !factory.closed {
		factory.closed = true
		close(factory.queue)
	}
	factory.lock.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	select {
	case <-factory.done:
	case <-ctx.Done():
	}
}

// Layer returns the logger of a layer.
func (factory *Factory) Layer(name string) logr.Logger {
	level, ok := factory.levels[name]
	if !ok {
		level = factory.levels[""]
	}
	write := factory.write
	if name == LayerCalls {
		write = factory.writeCall
	}
	options := funcr.Options{LogTimestamp: true, TimestampFormat: time.RFC3339Nano, Verbosity: level}
	return funcr.NewJSON(write, options).WithName(name)
}

// Line is a line of a log as a reader finds it.
type Line struct {
	Logger  string
	At      time.Time
	Message string
	// Fields has all values of the line by name.
	Fields map[string]any
}

// Parse reads one line. It returns false for what is not one of this package.
func Parse(text []byte) (Line, bool) {
	var fields map[string]any
	if json.Unmarshal(text, &fields) != nil {
		return Line{}, false
	}
	logger, _ := fields["logger"].(string)
	timestamp, _ := fields["ts"].(string)
	message, _ := fields["msg"].(string)
	at, err := time.Parse(time.RFC3339Nano, timestamp)
	return Line{Logger: logger, At: at, Message: message, Fields: fields}, err == nil && logger != ""
}

// writeCall lets a bounded number of lines through each second.
func (factory *Factory) writeCall(line string) {
	second := time.Now().Unix()
	factory.lock.Lock()
	if factory.second != second {
		factory.second, factory.callLines = second, 0
	}
	factory.callLines++
	exceeded := factory.callLines > maxCallLinesPerSecond
	factory.lock.Unlock()
	if exceeded {
		factory.dropped.Add(1)
		return
	}
	factory.write(line)
}

func (factory *Factory) write(line string) {
	factory.lock.Lock()
	defer factory.lock.Unlock()
	if factory.closed {
		return
	}
	select {
	case factory.queue <- line:
	default:
		factory.dropped.Add(1)
	}
}
