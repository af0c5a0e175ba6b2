// Package replicator exchanges the records of mirrored streams in gossip messages.
package replicator
