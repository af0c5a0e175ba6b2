// Package placer decides the roles of engines and how many targets to hold in which availability zone; it does no I/O.
package placer
