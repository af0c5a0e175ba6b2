// Package authorizer folds the Control stream into leases, fencing numbers and orders.
package authorizer
