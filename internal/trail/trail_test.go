package trail

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// read searches the logs in testdata for a value.
func read(t *testing.T, value string) *Trail {
	trail := New(value)
	files, err := filepath.Glob("testdata/*.log")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, name := range files {
		file, err := os.Open(name)
		require.NoError(t, err)
		require.NoError(t, trail.Read(strings.TrimSuffix(filepath.Base(name), ".log"), file))
		require.NoError(t, file.Close())
	}
	return trail
}

func TestFollowsCallThroughAllProcesses(t *testing.T) {
	trail := read(t, "68db816ae2a0e0b1")
	var got []string
	for _, match := range trail.Matches() {
		got = append(got, match.Process+" "+match.Line.Message)
	}
	require.Equal(t, []string{"n2 refused", "n3 no whole answer", "n1 call"}, got)
	require.Contains(t, trail.Matches()[2].Details(), "fullAt=[n2]")
	require.Equal(t, 2, trail.Skipped(), "the line without a JSON object and the line with an invalid time are skipped")
}

func TestMatchesWholeValues(t *testing.T) {
	require.Len(t, read(t, "i-4c").Matches(), 2, "the id of an upstream")
	require.Len(t, read(t, "n2").Matches(), 1, "an item of a list")
	require.Len(t, read(t, "17").Matches(), 1, "a number in its decimal form")
	require.Empty(t, read(t, "68db").Matches(), "a prefix of a value does not match")
}

// TestIncludesNestedCalls checks that the calls that an upstream made for a call,
// whose ids begin with that call's, are part of its trail.
func TestIncludesNestedCalls(t *testing.T) {
	trail := New("a1")
	lines := `{"logger":"calls","ts":"2026-01-01T00:00:02Z","msg":"call","id":"a1","status":500}
{"logger":"calls","ts":"2026-01-01T00:00:01Z","msg":"refused","id":"a1.b2","reason":"full"}
{"logger":"calls","ts":"2026-01-01T00:00:01Z","msg":"refused","id":"a12.b2","reason":"full"}
{"logger":"gate","ts":"2026-01-01T00:00:01Z","msg":"upstream announced","upstream":"a1.b2"}
`
	require.NoError(t, trail.Read("n1", strings.NewReader(lines)))
	var got []string
	for _, match := range trail.Matches() {
		got = append(got, match.Line.Message)
	}
	require.Equal(t, []string{"refused", "call"}, got)
}

// TestOverlongLineIsSkipped checks that a line longer than maxLineBytes is counted
// as skipped, even if it has the value.
func TestOverlongLineIsSkipped(t *testing.T) {
	trail := New("x")
	long := `{"logger":"gate","id":"x","more":"` + strings.Repeat("y", 2*maxLineBytes) + `"}` + "\n"
	require.NoError(t, trail.Read("n1", strings.NewReader(long)))
	require.Empty(t, trail.Matches())
	require.Equal(t, 1, trail.Skipped())
}
