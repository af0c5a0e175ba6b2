// Package tracker keeps the state of each target from its load reports, cache events and failures and from the
// requests that this instance sent to it, and assigns requests to targets.
package tracker
