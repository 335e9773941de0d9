package placement

import "testing"

// Guards against an oracle that detects nothing: each named wrong variant has
// to break its own promise.
func TestWrongVariantsAreDetected(t *testing.T) {
	variants := map[string]faults{
		"leaving":  {ignorePending: true},
		"slots":    {ignoreSlots: true},
		"lookups":  {noKeptSlots: true},
		"reserve":  {ignoreReserve: true},
		"link":     {unlimitedLink: true},
		"versions": {acceptOldLoads: true},
		"pacing":   {noPacing: true},
		"unprobed": {useUnprobed: true},
		"deadline": {expireNothing: true},
		"marked":   {skipMarkedCheck: true},
		"isolated": {joinIsolated: true},
		"innocent": {neverShareMarked: true},
	}
	for promise, f := range variants {
		if !detected(promise, f) {
			t.Errorf("the wrong variant of %q passes", promise)
		}
	}
}

func detected(promise string, f faults) bool {
	const seeds = 500
	for seed := range seeds {
		err := run(histories.Example(seed), f)
		if err != nil && len(err.Error()) > len(promise) && err.Error()[:len(promise)] == promise {
			return true
		}
	}
	return false
}
