//go:build review

// Command lab2 runs the scripted cases of the second review. Each case starts real
// instances as separate processes, with a store, engines and callers in this process, and
// checks one rule from what callers and engines see.
package main

import (
	_ "embed"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// caseTimeout ends a case that hangs. The instances end with this process.
const caseTimeout = 115 * time.Second

// Bounds of a small deployment, as its settings file names them.
const (
	drainBound       = 2500 * time.Millisecond
	graceSeconds     = 8
	configApplyBound = 2500 * time.Millisecond
)

// namesText has the names of the platform's headers and of its settings variable.
//
//go:embed names.txt
var namesText string

var names = parseNames(namesText)

func parseNames(text string) map[string]string {
	found := make(map[string]string)
	for line := range strings.Lines(text) {
		if key, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			found[key] = value
		}
	}
	return found
}

// name returns the platform's name of a header or variable.
func name(key string) string {
	value, ok := names[key]
	if !ok {
		panic("lab2: no name for " + key)
	}
	return value
}

// record is the record of a case: what was sent, answered and run. It is safe for
// concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// line writes one line with the time since the start.
func (r *record) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// setting is what all cases get.
type setting struct {
	rec       *record
	trouble   bool
	directory string // temporary folder for settings and logs
}

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(setting) (broken bool, err error){
	"leaving-backup": leavingBackup,
	"stepped-clock":  steppedClock,
	"reused-address": reusedAddress,
	"banned-tenant":  bannedTenant,
	"other-writer":   otherWriter,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE RECORD")
		os.Exit(exitCouldNot)
	}
	time.AfterFunc(caseTimeout, func() { os.Exit(exitCouldNot) })
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(which, recordPath string) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	defer rec.file.Close()
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs:", directory)
	} else {
		defer os.RemoveAll(directory)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, trouble %v", which, trouble)
	broken, err := cases[which](setting{rec: rec, trouble: trouble, directory: directory})
	switch {
	case err != nil:
		rec.line("the case could not run: %s", err)
		fmt.Println("could not run:", err)
		return exitCouldNot
	case broken:
		rec.line("RESULT: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	rec.line("RESULT: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
