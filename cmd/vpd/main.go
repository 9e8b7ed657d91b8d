// Vpd runs the daemons of control VMs and of nodes, and a sample upstream and a
// demo for trials.
package main

import (
	"os"

	"github.com/vanillapulley/vanillapulley/internal/cmds"
)

func main() { os.Exit(cmds.Main(cmds.DaemonCommand(), os.Args)) }
