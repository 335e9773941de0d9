package placement

import "testing"

// Guards against an oracle that detects nothing: each mutation has to violate the
// property that is named before the colon of the oracle's error.
func TestMutationsAreDetected(t *testing.T) {
	mutants := map[string]mutations{
		"leaving":       {ignorePendingTickets: true},
		"slots":         {ignoreSlots: true},
		"draft-reserve": {noSlotReserve: true},

		"reserve":  {ignoreLinkReserve: true},
		"link":     {unlimitedLink: true},
		"versions": {acceptStaleLoads: true},
		"pacing":   {noContinuationPacing: true},
		"unprobed": {useSuspectedEndpoints: true},
		"deadline": {neverExpire: true},
		"marked":   {ignoreMarkedContent: true},
		"isolated": {mixIsolatedContent: true},
		"starved":  {neverColocateMarked: true},
	}
	for property, m := range mutants {
		if !isDetected(property, m) {
			t.Errorf("no run detects the mutation that violates %q", property)
		}
	}
}

func isDetected(property string, m mutations) bool {
	const seeds = 500
	for seed := range seeds {
		err := runOperations(operationLists.Example(seed), m)
		if err != nil && len(err.Error()) > len(property) && err.Error()[:len(property)] == property {
			return true
		}
	}
	return false
}
