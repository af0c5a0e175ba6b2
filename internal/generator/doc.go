// Package generator sends requests with bounded concurrency and an oscillating ratio of prompt to output tokens, and
// measures the responses.
package generator
