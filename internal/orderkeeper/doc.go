// Package orderkeeper carries out the orders of the lease holder, each under its fencing number.
package orderkeeper
