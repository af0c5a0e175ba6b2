// Package elector keeps who holds the fleet's duties, by a lease on a log that is appended only at its known end.
package elector
