package ticket

// Mutations are the mutations that TestMutationsAreDetected covers, by name.
var Mutations = map[string]func(*CoreOptions){
	"acceptOnWrite":      func(o *CoreOptions) { o.acceptOnWrite = true },
	"acceptUnregistered": func(o *CoreOptions) { o.acceptUnregistered = true },
	"skipCompare":        func(o *CoreOptions) { o.skipCompare = true },
	"useHeldAtOnce":      func(o *CoreOptions) { o.useHeldAtOnce = true },
}

// NewStateLastAppliedWins returns an empty state with the mutation
// lastAppliedWins.
func NewStateLastAppliedWins() *State {
	s := NewState()
	s.lastAppliedWins = true
	return s
}

// ApplyTo applies a ticket to a state.
func ApplyTo(s *State, t *Ticket) { s.apply(t) }

// ApplyOlderHead sets a mutation that TestHeadsInAnyOrder has to detect.
func ApplyOlderHead(o *CoreOptions) { o.applyOlderHead = true }

// EncodeHead returns the stored form of a head.
func EncodeHead(h Head) []byte { return h.encode() }
