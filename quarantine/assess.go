package quarantine

import (
	"slices"
	"time"
)

// State is what the crashes of engines say about content or a part of a prompt.
type State string

// States, from the least to the most suspect.
const (
	// StateUnsuspected means fewer than minCrashes crashes since it was served.
	StateUnsuspected State = "unsuspected"
	// StateServed means that engines served it shortly before the crashes.
	StateServed State = "served"
	// StateCoincident means that the crashes count as fewer, since they happened at
	// once in one failure domain.
	StateCoincident State = "coincident"
	// StateExplained means that other requests, which were in more crashes, explain
	// them.
	StateExplained State = "explained"
	// StateIncomplete means that the request has only some of the parts that were in
	// all the crashes.
	StateIncomplete State = "incomplete"
	// StateRefused means that requests with it are refused.
	StateRefused State = "refused"
)

// states are all states, from the least to the most suspect.
var states = []State{StateUnsuspected, StateServed, StateCoincident, StateExplained, StateIncomplete, StateRefused}

// Assessment is what the crashes say about a request.
type Assessment struct {
	// State is that of the most suspect among the content and the parts.
	State State
	// Crashes is the number of engines that crashed with it since it was served.
	Crashes int
	// Causes are the parts for which the request is refused; nil if it is not. Besides
	// one that crashed engines, they are those that were in all the requests with it and
	// were never served: any of them may be the cause.
	Causes []Part
	// Tied is true if the request is refused only for content or parts in whose crashes
	// others were as often. Any of them may be the cause, see Core.StartTrial.
	Tied bool
	part Part // that the state is about
}

// Refused reports whether the request is refused.
func (a Assessment) Refused() bool { return a.State == StateRefused }

// severity orders assessments, from the least to the most suspect.
func (a Assessment) severity() int {
	severity := slices.Index(states, a.State)
	if a.Refused() && !a.Tied {
		severity++
	}
	return severity
}

// Assess returns what the crashes say about a request.
func (c *Core) Assess(now time.Duration, r Request) Assessment {
	worst := c.assessPart(now, r, r.Content, c.countContentIncidents)
	for _, part := range r.Shared {
		if a := c.assessPart(now, r, part, countPartIncidents); a.severity() > worst.severity() {
			worst = a
		}
	}
	return worst
}

// countPartIncidents counts the crashes with a part of prompts.
func countPartIncidents(crashes []*crashRecord) int {
	return countIncidents(crashes, domainFailureWindow)
}

// assessPart returns what the crashes with one part say about a request.
func (c *Core) assessPart(now time.Duration, r Request, part Part, count func([]*crashRecord) int) Assessment {
	if len(c.byPart[part]) < minCrashes {
		return Assessment{State: StateUnsuspected}
	}
	since := c.crashesSinceServed(now, part)
	crashes := countCrashes(since)
	if crashes < minCrashes {
		return Assessment{State: StateUnsuspected, Crashes: crashes}
	}
	if count(since) < minCrashes {
		return Assessment{State: StateCoincident, Crashes: crashes}
	}
	if c.isHarmless(now, part) {
		return Assessment{State: StateServed, Crashes: crashes}
	}
	unexplained := c.unexplainedCrashes(now, part, crashes+1)
	if count(unexplained) < minCrashes {
		return Assessment{State: StateExplained, Crashes: crashes}
	}
	causes := c.commonParts(now, unexplained)
	if !containsAll(r.parts(), causes) {
		return Assessment{State: StateIncomplete, Crashes: crashes}
	}
	tied := count(c.unexplainedCrashes(now, part, crashes)) < minCrashes
	return Assessment{State: StateRefused, Crashes: crashes, Causes: causes, Tied: tied, part: part}
}
