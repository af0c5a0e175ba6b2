// Package forwarder takes one request from a client through admission, targets and retries to its final answer.
package forwarder
