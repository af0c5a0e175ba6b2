// Package follower keeps a mirror of a keyed stream current: from peers where they are fresher, else from the store.
package follower
