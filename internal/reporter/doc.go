// Package reporter closes usage windows and reports each once, under the lease.
package reporter
