// Package fleetsim simulates a fleet of instances in one process. It runs the
// membership core (package fleet) and the ticket core (package ticket) of each
// instance on a simulated clock, network and store with fixed random seeds. The
// tests of both packages and the benchmarks use it.
//
// The cores are the same code that an instance runs. Only their I/O is simulated:
// message delay and loss, the delay of store calls, and the size of HTTP headers
// (ExchangeOverheadBytes), which was measured on real connections.
package fleetsim
