// Package chooser decides which targets take a request, by predicted time; it does no I/O.
package chooser
