// Package fleetsim drives many instances of the fleet and ticket cores in one
// process, with a simulated network, store and clock and fixed seeds. The tests
// of the two slices and the bench use it.
//
// The cores are the ones that an instance runs. What is simulated is the I/O
// around them: message delays and losses, the store's delay, and the size of
// HTTP headers, which ExchangeOverhead states as measured on real connections.
package fleetsim
