// Package evaluator holds the scenario benchmarks of the policy, which run the decision code on virtual time.
package evaluator
