// Package scaler orders stages and numbers of targets for the lease holder, each order under its fencing number.
package scaler
