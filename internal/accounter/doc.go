// Package accounter folds the Usage stream into windows and keeps the usage of this instance until the log has it.
package accounter
