// Package tailer follows one stream of the platform's log, folds it into a state and appends to it.
package tailer
