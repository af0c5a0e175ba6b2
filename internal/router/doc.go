// Package router chooses the target of a request among candidates by predicted cost; it does no I/O.
package router
