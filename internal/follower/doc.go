// Package follower keeps a mirror of a keyed stream up to date. It reads the store only when peers have not sent fresh
// data for a while.
package follower
