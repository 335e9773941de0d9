// Package standins holds the programs that take the place of the platform,
// the engines and the services in the demo, in tests on real processes and in
// the bench. They are not shipped.
package standins
