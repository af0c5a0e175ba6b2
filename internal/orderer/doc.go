// Package orderer sends role orders to engines and target orders to the platform, under the lease and through the log.
package orderer
