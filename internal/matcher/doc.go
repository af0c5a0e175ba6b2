// Package matcher looks up the route and the team of a request in one version of the configuration; it does no I/O.
package matcher
