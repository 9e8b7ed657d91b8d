// Vpctl is the command-line client that operators use to manage vanillapulley.
package main

import (
	"os"

	"github.com/vanillapulley/vanillapulley/internal/cmds"
)

func main() { os.Exit(cmds.Main(cmds.OperatorCommand(), os.Args)) }
