// Package committer appends records of many callers together, one batch at a time.
package committer
