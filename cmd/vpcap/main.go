// Vpcap reads a capacity plan, which has measurements at several sizes of the
// system, from standard input and prints the table of docs/CAPACITY.md. Run it from
// the root of the repository:
//
//	go run ./cmd/vpcap < docs/capacity.json
package main

import (
	"fmt"
	"os"

	"github.com/vanillapulley/vanillapulley/internal/extrap"
)

func main() {
	plan, err := extrap.Read(os.Stdin)
	if err == nil {
		err = plan.Write(os.Stdout)
	}
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "vpcap:", err)
		os.Exit(1)
	}
}
