// Package reporter closes usage windows and reports each of them once, under the lease.
package reporter
