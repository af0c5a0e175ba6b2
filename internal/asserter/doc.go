// Package asserter checks invariants in the running program and counts their violations.
package asserter
