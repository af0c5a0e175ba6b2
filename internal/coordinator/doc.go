// Package coordinator runs an entry instance on the users' machines: it connects request handling, targets, peers, the
// store and the duties of the lease holder.
package coordinator
