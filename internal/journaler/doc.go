// Package journaler folds the Journal stream, which decides which instance may send a request that must run at most
// once.
package journaler
