// Package limiter shares capacity between teams by weighted max-min fairness and refuses requests early under overload;
// it does no I/O.
package limiter
