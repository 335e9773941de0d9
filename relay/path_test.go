package relay

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"
)

// Guards against reads through other instances that the logs don't show, and against a
// line for each read.
func TestPathToTheStoreIsLoggedWhenItChanges(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(slog.NewJSONHandler(&out, nil))
	record := pathRecord{kind: "configuration"}
	for _, now := range []path{pathStore, pathStore, pathHelper, pathHelper, pathHelper, pathParent} {
		record.record(log, now, errors.New("connection reset"))
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 3 {
		t.Fatalf("%d lines, want one for each change:\n%s", len(lines), out.String())
	}
	for _, want := range []string{`"path":"helper"`, `"before":"store"`, `"store_error":"connection reset"`} {
		if !strings.Contains(lines[1], want) {
			t.Errorf("the line %s does not contain %s", lines[1], want)
		}
	}
}
