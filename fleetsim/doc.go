// Package fleetsim drives many instances of the fleet and ticket cores in one
// process, with a simulated network, store and clock and fixed seeds. The tests
// of the two slices and the bench use it.
package fleetsim
