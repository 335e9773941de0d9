package enginectl

import "github.com/uber-go/tally/v4"

var resultLabels = map[CommandResult]string{
	CommandDone:       "done",
	CommandStaleFence: "stale_fence",
	CommandNotSent:    "not_sent",
	CommandUnknown:    "unknown",
}

type counterKey struct {
	kind   CommandKind
	result CommandResult
}

type metrics struct {
	commands map[counterKey]tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{commands: make(map[counterKey]tally.Counter)}
	for _, kind := range []CommandKind{KindLoad, KindUnload, KindRole} {
		for result, name := range resultLabels {
			tags := map[string]string{"command": string(kind), "result": name}
			m.commands[counterKey{kind, result}] = scope.Tagged(tags).Counter("commands")
		}
	}
	return m
}

func (m *metrics) countCommand(kind CommandKind, result CommandResult) {
	m.commands[counterKey{kind, result}].Inc(1)
}
