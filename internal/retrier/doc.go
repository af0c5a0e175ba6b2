// Package retrier bounds retries to a share of recent requests.
package retrier
