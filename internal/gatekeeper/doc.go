// Package gatekeeper decides, right before a request is sent to a target, whether the target still accepts it: a target
// may have said that it leaves, or that it wants no requests for a while.
package gatekeeper
