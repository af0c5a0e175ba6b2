// Package router chooses the target of a request from what is known of the candidates; it does no I/O.
package router
