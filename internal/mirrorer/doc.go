// Package mirrorer keeps the newest record of each key of a stream, fed by the store and by peers.
package mirrorer
