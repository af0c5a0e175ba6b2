// Package committer appends the records of concurrent callers to a stream in batches (group commit).
package committer
