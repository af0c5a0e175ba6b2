// Package elector elects the holder of the fleet's duties by a lease in a log that accepts an append only at its
// expected end.
package elector
