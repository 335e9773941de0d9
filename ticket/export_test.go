package ticket

// Wrong variants of the core, by name. The property tests have to catch each.
var Mutations = map[string]func(*CoreOptions){
	"acceptOnWrite":      func(o *CoreOptions) { o.acceptOnWrite = true },
	"acceptUnregistered": func(o *CoreOptions) { o.acceptUnregistered = true },
	"skipCompare":        func(o *CoreOptions) { o.skipCompare = true },
	"useHeldAtOnce":      func(o *CoreOptions) { o.useHeldAtOnce = true },
}

// NewStateFoldedByArrival returns a state of the wrong variant.
func NewStateFoldedByArrival() *State {
	s := NewState()
	s.foldByArrival = true
	return s
}

// ApplyTo folds a ticket into a state.
func ApplyTo(s *State, t *Ticket) { s.apply(t) }

// AdoptOlderHead is a wrong variant that TestHeadsInAnyOrder has to catch.
func AdoptOlderHead(o *CoreOptions) { o.adoptOlderHead = true }

// EncodeHead is the stored form of a head.
func EncodeHead(h Head) []byte { return h.encode() }
