// Package placer plans the roles of engines and the number of targets in each availability zone; it does no I/O.
package placer
