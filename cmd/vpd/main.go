// Vpd runs the daemons of vanillapulley.
package main

import (
	"os"

	"github.com/vanillapulley/vanillapulley/internal/cmds"
)

func main() { os.Exit(cmds.Main(cmds.DaemonCommand(), os.Args)) }
