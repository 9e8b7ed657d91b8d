// Vpctl is the operators' client of vanillapulley.
package main

import (
	"os"

	"github.com/vanillapulley/vanillapulley/internal/cmds"
)

func main() { os.Exit(cmds.Main(cmds.OperatorCommand(), os.Args)) }
