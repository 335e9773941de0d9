//go:build review

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the log of a case, record.txt. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file}, nil
}

// add writes a line with the time since the start, what happened and pairs of keys and values.
func (r *record) add(what string, pairs ...any) { r.addAt(time.Now(), what, pairs...) }

func (r *record) addAt(at time.Time, what string, pairs ...any) {
	var line strings.Builder
	fmt.Fprintf(&line, "%8.3f  %s", at.Sub(r.began).Seconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&line, "  %v=%v", pairs[i], pairs[i+1])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintln(r.file, line.String())
}
