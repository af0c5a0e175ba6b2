// Package retrier limits retries to a fraction of recent requests.
package retrier
