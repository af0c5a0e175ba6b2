// Package orderer sends role orders to engines and target orders to the platform, under the lease; it records intent and
// outcome of each order in the log.
package orderer
