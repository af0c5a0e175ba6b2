// Package evaluator holds benchmarks that run the routing, admission and placement code in simulated scenarios
// on virtual time, and measurements of how the costs of the main operations grow with the size of the site.
package evaluator
