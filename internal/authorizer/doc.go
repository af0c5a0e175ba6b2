// Package authorizer folds the Control stream into leases, fencing numbers, orders and acquired targets.
package authorizer
