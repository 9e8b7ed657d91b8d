// Package logs provides the structured loggers of a process. Each line is a JSON
// object. The program is divided into layers, such as "raft" and "api". Each layer
// has a logger with the name of the layer and its own verbosity.
//
// Lines are queued and written by a separate goroutine, so that a slow reader of
// the log never blocks the code that logs. The queue length and the rate of lines
// about calls are bounded. Dropped lines are counted, and the count is logged after
// the next line that is written. Lines after Close are discarded.
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

// Layers lists the names of all layers.
var Layers = []string{"raft", "api", "distr", "member", "rollout", "gate", "calls", "quota", "daemon"}

// LayerCalls is the layer that logs single calls. The number of its lines grows with
// the load, so their rate is limited.
const LayerCalls = "calls"

// Levels maps the name of a layer to its verbosity: 0 logs state changes, 1 also
// connections, 2 also messages. The entry with the empty name applies to layers
// without an entry.
type Levels map[string]int

// Check returns an error if a layer is unknown or a level is negative.
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
	// queueCapacity is the maximum number of lines that wait to be written, about
	// as many as are logged in one second.
	queueCapacity = 1024
	// maxCallLinesPerSecond is the maximum number of lines per second about calls.
	// On-call engineers can find every failed call of a node by its id as long as
	// fewer calls than this fail per second. Above that, lines are dropped.
	maxCallLinesPerSecond = 200
	// flushTimeout is the maximum time that Close waits for the queued lines to
	// be written.
	flushTimeout = 500 * time.Millisecond
)

// Factory creates the loggers of a process. It is safe for concurrent use.
type Factory struct {
	levels Levels
	out    io.Writer
	queue  chan string
	// dropped counts the lines that were dropped and not reported yet.
	dropped atomic.Uint64
	// done is closed when run returns.
	done chan struct{}

	// lock guards the fields below. It also ensures that write does not send on
	// the queue after Close has closed it.
	lock sync.Mutex
	// second is the Unix time of the second in which callLines are counted.
	second int64
	// callLines is the number of lines about calls in that second, including
	// dropped ones.
	callLines int
	closed    bool
}

// New returns a factory whose loggers write to out, and starts the goroutine that
// writes the queued lines. Close stops it.
func New(out io.Writer, levels Levels) *Factory {
	factory := &Factory{levels: levels, out: out, queue: make(chan string, queueCapacity), done: make(chan struct{})}
	go factory.run()
	return factory
}

// Discard returns a factory whose loggers write nothing.
func Discard() *Factory { return New(io.Discard, nil) }

// run writes the queued lines until the queue is closed. After each line it
// reports how many lines have been dropped, if any.
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

// Close makes the loggers discard further lines and waits until the queued lines are
// written, but at most for flushTimeout.
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

// Layer returns the logger of the layer with the given name.
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

// Line is a parsed line of a log.
type Line struct {
	Logger  string
	At      time.Time
	Message string
	// Fields holds all values of the line by name, including the logger, the
	// time and the message.
	Fields map[string]any
}

// Parse parses one line of a log. It returns false if the text is not a JSON object
// with the name of a logger and a valid time.
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

// writeCall queues a line about a call, or drops it if the current second has
// already had maxCallLinesPerSecond of them.
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

// write queues a line, or drops it if the queue is full.
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
