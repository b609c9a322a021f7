//go:build review

// Command review-2 runs the cases 6 to 10 of the review against processes of the program.
package main

import (
	"flag"
	"fmt"
	"os"
)

const (
	graceS     = 6
	stabilityS = 3
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// options of a case.
type options struct {
	record  string
	trouble bool
}

var cases = map[string]func(options) (bool, error){
	"silent-watchers":         silentWatchers,
	"poison-caller-leaves":    poisonCallerLeaves,
	"poison-rolling":          poisonRolling,
	"directory-after-restart": directoryAfterRestart,
}

func main() {
	name := flag.String("case", "", "the case to run")
	o := options{}
	flag.StringVar(&o.record, "record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	o.trouble = os.Getenv("TROUBLE") != "0"
	run := cases[*name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		os.Exit(cannotRun)
	}
	holds, err := run(o)
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		os.Exit(cannotRun)
	case !holds:
		fmt.Println("the rule was broken")
		os.Exit(broken)
	}
	fmt.Println("the rule held")
	os.Exit(held)
}
