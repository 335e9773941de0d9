// Package fleetsim simulates a fleet of instances in one process. It runs the
// membership core (package fleet) and the ticket core (package ticket) of each
// instance on a simulated clock, network and store with fixed random seeds. Tests and
// benchmarks use it.
//
// The cores are the same code that an instance runs. Only their I/O is simulated:
// message delay and loss, and the delay of store calls. Traffic is counted with a
// fixed size of HTTP headers (ExchangeOverheadBytes), which a test of package peer
// compares with real connections.
package fleetsim
