package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitSetup  = 2
)

// cases are the scripted cases, by their names. A case returns whether the rule was broken.
var cases = map[string]func(fleet *fleet, trouble bool) (broken bool, err error){
	"upload-drain": uploadDrain,
	"accept-hang":  acceptHang,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE VPD FOLDER")
		os.Exit(exitSetup)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, vpd, folder string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitSetup
	}
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSetup
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.add("case %s, trouble %t", name, trouble)
	fleet, err := newFleet(vpd, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSetup
	}
	defer fleet.stop()
	broken, err := run(fleet, trouble)
	switch {
	case err != nil && errors.Is(err, errSetup):
		record.add("%s", err)
		return exitSetup
	case err != nil:
		record.add("the case could not run: %s", err)
		return exitSetup
	case broken:
		record.add("the rule is broken")
		return exitBroken
	default:
		record.add("the rule held")
		return exitHeld
	}
}
