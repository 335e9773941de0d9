// Package standins is the root package of the module with the programs that replace
// the platform, the engines and the services in the demo, in tests with real
// processes and in the benchmark. None of them is part of the product.
package standins
