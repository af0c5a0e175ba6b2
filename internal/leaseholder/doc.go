// Package leaseholder claims and renews a lease through the Control stream.
package leaseholder
