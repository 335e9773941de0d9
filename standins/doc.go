// Package standins is the root of the programs that simulate the platform, the
// engines and the services in the demo, in tests with real processes and in the
// benchmarks. They are not part of the product.
package standins
