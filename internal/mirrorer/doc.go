// Package mirrorer keeps the newest record of each key of a stream, received from the store and from peers.
package mirrorer
