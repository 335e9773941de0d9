package ticket

// Mutations are mutations of the core by name. The property tests have to detect
// each of them.
var Mutations = map[string]func(*CoreOptions){
	"acceptOnWrite":      func(o *CoreOptions) { o.acceptOnWrite = true },
	"acceptUnregistered": func(o *CoreOptions) { o.acceptUnregistered = true },
	"skipCompare":        func(o *CoreOptions) { o.skipCompare = true },
	"useHeldAtOnce":      func(o *CoreOptions) { o.useHeldAtOnce = true },
}

// NewStateFoldedByArrival returns an empty state with the mutation foldByArrival.
func NewStateFoldedByArrival() *State {
	s := NewState()
	s.foldByArrival = true
	return s
}

// ApplyTo applies a ticket to a state.
func ApplyTo(s *State, t *Ticket) { s.apply(t) }

// AdoptOlderHead sets a mutation that TestHeadsInAnyOrder has to detect.
func AdoptOlderHead(o *CoreOptions) { o.adoptOlderHead = true }

// EncodeHead returns the stored form of a head.
func EncodeHead(h Head) []byte { return h.encode() }
