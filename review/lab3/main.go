//go:build review

// Command lab3 runs the cases of the third review that are scripts. It starts gateways as
// separate processes against stand-ins on loopback, and exits with 1 if the rule of the case
// was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"shared-prompt":      sharedPrompt,
	"numbered-by-tokens": numberedByTokens,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE BINARY RECORD")
		return exitFailed
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	f, err := newFleet(os.Args[2], r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.close()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := cases[os.Args[1]](f, trouble)
	r.add("end of the case", "trouble", trouble, "broken", broken, "error", err)
	fmt.Printf("trouble=%t broken=%t error=%v\n", trouble, broken, err)
	switch {
	case err != nil:
		return exitFailed
	case broken:
		return exitBroken
	}
	return exitHeld
}
