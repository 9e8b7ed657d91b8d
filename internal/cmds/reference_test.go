package cmds

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	docs "github.com/urfave/cli-docs/v3"
)

var update = flag.Bool("update", false, "regenerate the command-line reference")

// TestReference checks that docs/CLI.md matches the reference generated from the
// commands.
func TestReference(t *testing.T) {
	text := "# Command-line reference\n\nMade from the commands by `go test ./internal/cmds -run TestReference -update`.\n"
	for _, generate := range []func() (string, error){
		func() (string, error) { return docs.ToTabularMarkdown(DaemonCommand(), "vpd") },
		func() (string, error) { return docs.ToTabularMarkdown(OperatorCommand(), "vpctl") },
	} {
		part, err := generate()
		require.NoError(t, err)
		text += "\n" + part
	}
	text += "\n## Exit codes\n\n```\n" + exitCodesHelp + "\n```\n"
	file := filepath.Join("..", "..", "docs", "CLI.md")
	if *update {
		require.NoError(t, os.WriteFile(file, []byte(text), 0o644))
	}
	existing, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, text, string(existing), "run the test with -update")
}
