// Package limiter shares capacity between teams by weighted max-min fairness and refuses early; it does no I/O.
package limiter
