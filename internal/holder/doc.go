// Package holder claims and renews a lease through the Control stream.
package holder
