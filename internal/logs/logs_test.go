package logs

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blocked is a reader of logs that does not keep up.
type blocked struct{ release chan struct{} }

func (blocked blocked) Write(data []byte) (int, error) {
	<-blocked.release
	return len(data), nil
}

// TestAFullPipeDelaysNobody writes many times what the queue holds.
func TestAFullPipeDelaysNobody(t *testing.T) {
	out := blocked{release: make(chan struct{})}
	factory := New(out, nil)
	log := factory.Layer("gate")
	ended := make(chan struct{})
	go func() {
		for range 10 * queueLength {
			log.Info("line")
		}
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("a line waited for its reader")
	}
	require.GreaterOrEqual(t, factory.dropped.Load(), uint64(8*queueLength))
	close(out.release)
	factory.Close()
}

// TestLinesAboutCallsAreBounded counts what a burst of failed calls leaves.
func TestLinesAboutCallsAreBounded(t *testing.T) {
	var out bytes.Buffer
	factory := New(&out, nil)
	begun := time.Now()
	log := factory.Layer(LayerCalls)
	for range 5 * callsPerSecond {
		log.Info("call", "id", "x")
	}
	seconds := int(time.Since(begun)/time.Second) + 2
	factory.Layer("gate").Info("the last one")
	factory.Close()
	require.LessOrEqual(t, strings.Count(out.String(), `"msg":"call"`), seconds*callsPerSecond)
	require.Contains(t, out.String(), `"lines dropped"`)
}

func TestALineReadsBack(t *testing.T) {
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

// BenchmarkLine is the cost of a line to the one who decides.
func BenchmarkLine(b *testing.B) {
	factory := New(io.Discard, nil)
	defer factory.Close()
	log := factory.Layer(LayerCalls)
	for b.Loop() {
		log.Info("call", "id", "9c41d07be2a35f68", "route", "r-zji9n73", "status", 503, "reason", "deadline")
	}
}
