// Package journaler folds the Journal stream, which decides who may send a request that must not run twice.
package journaler
