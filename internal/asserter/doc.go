// Package asserter checks invariants inside the running program.
package asserter
