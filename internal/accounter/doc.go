// Package accounter folds the Usage stream into usage windows, and keeps the usage that is not yet in the log: this
// instance's own and copies of its peers'.
package accounter
