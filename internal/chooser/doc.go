// Package chooser chooses the targets of a request by predicted time. It does no I/O.
package chooser
