// Package gossiper exchanges gossip messages between entry instances. They carry the liveness and load of each instance
// and the changes to replicated data.
package gossiper
