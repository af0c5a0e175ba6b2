// Package admitter decides which requests a service can serve in time while it is overloaded, and refuses the others before they
// are sent. It does no I/O and sends no messages.
package admitter
