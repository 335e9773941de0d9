//go:build review

// Command lab runs one case of the review: it starts the project's gateway as separate
// processes beside small stand-ins for the platform's store, engines and clients.
//
// Usage: lab CASE RECORD. It exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run. With TROUBLE=0 the disruption is left out.
package main

import (
	_ "embed"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

//go:embed names.txt
var namesFile string

// names are the platform's names of headers and paths, from names.txt.
var names = parseNames(namesFile)

func parseNames(text string) map[string]string {
	parsed := make(map[string]string)
	for line := range strings.Lines(text) {
		if key, value, ok := strings.Cut(line, "="); ok {
			parsed[strings.TrimSpace(key)] = strings.TrimSpace(value)
		}
	}
	return parsed
}

func name(key string) string {
	value, ok := names[key]
	if !ok {
		panic("no name " + key)
	}
	return value
}

// record is the record of a run: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, arguments...)...)
}

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario is a case. It returns a description of how the rule was broken, "" if it held.
type scenario func(l *lab) (broken string, err error)

var scenarios = map[string]scenario{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		return exitNotRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	l := &lab{record: &record{file: file, began: time.Now()}, trouble: os.Getenv("TROUBLE") != "0"}
	defer l.close()
	broken, err := scenarios[os.Args[1]](l)
	switch {
	case err != nil:
		l.record.add("the case could not run: %s", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case broken != "":
		l.record.add("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	l.record.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
