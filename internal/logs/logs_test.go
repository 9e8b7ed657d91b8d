package logs

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockedWriter blocks each write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (blockedWriter blockedWriter) Write(data []byte) (int, error) {
	<-blockedWriter.release
	return len(data), nil
}

// TestFullQueueDoesNotBlockLogging logs ten times as many lines as the queue
// holds while the writer is blocked. If it fails, a stalled reader of the log can
// block the process.
func TestFullQueueDoesNotBlockLogging(t *testing.T) {
	out := blockedWriter{release: make(chan struct{})}
	factory := New(out, nil)
	log := factory.Layer("gate")
	done := make(chan struct{})
	go func() {
		for range 10 * queueCapacity {
			log.Info("line")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocked on the writer")
	}
	// The queue holds one tenth of the lines; one further tenth is a margin.
	require.GreaterOrEqual(t, factory.dropped.Load(), uint64(8*queueCapacity))
	close(out.release)
	factory.Close()
}

// TestCallLinesAreRateLimited logs five times as many lines about calls as one
// second allows and checks that the rest is dropped and reported. If it fails, a
// burst of failed calls can fill the log.
func TestCallLinesAreRateLimited(t *testing.T) {
	var out bytes.Buffer
	factory := New(&out, nil)
	started := time.Now()
	log := factory.Layer(LayerCalls)
	for range 5 * maxCallLinesPerSecond {
		log.Info("call", "id", "x")
	}
	// The limit applies to each second of the clock. The loop may begin and end
	// in the middle of such a second, so it can touch up to two more of them than
	// the number of whole seconds that it took.
	seconds := int(time.Since(started)/time.Second) + 2
	// The number of dropped lines is logged after the next line that is written.
	factory.Layer("gate").Info("the last one")
	factory.Close()
	require.LessOrEqual(t, strings.Count(out.String(), `"msg":"call"`), seconds*maxCallLinesPerSecond)
	require.Contains(t, out.String(), `"lines dropped"`)
}

func TestParseReadsWrittenLine(t *testing.T) {
	var out bytes.Buffer
	factory := New(&out, nil)
	factory.Layer("gate").Info("refused", "id", "a1", "waiting", 3)
	factory.Close()
	line, ok := Parse(bytes.TrimSpace(out.Bytes()))
	require.True(t, ok)
	require.Equal(t, "gate", line.Logger)
	require.Equal(t, "refused", line.Message)
	require.Equal(t, "a1", line.Fields["id"])
	require.WithinDuration(t, time.Now(), line.At, time.Minute)
	for _, text := range []string{"", "panic: x", "{}", `{"logger":"gate"}`, `{"logger":"gate","ts":"noon"}`} {
		_, ok := Parse([]byte(text))
		require.False(t, ok, text)
	}
}

func TestLevelsAreChecked(t *testing.T) {
	require.NoError(t, Levels{"": 1, "gate": 2}.Check())
	require.Error(t, Levels{"gates": 1}.Check())
	require.Error(t, Levels{"gate": -1}.Check())
}

// BenchmarkLine measures the time that one line costs the calling goroutine. Nearly
// all lines exceed maxCallLinesPerSecond, so they are formatted and then dropped.
func BenchmarkLine(b *testing.B) {
	factory := New(io.Discard, nil)
	defer factory.Close()
	log := factory.Layer(LayerCalls)
	for b.Loop() {
		log.Info("call", "id", "9c41d07be2a35f68", "route", "r-zji9n73", "status", 503, "reason", "deadline")
	}
}
