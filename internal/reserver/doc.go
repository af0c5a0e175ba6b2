// Package reserver bounds the memory that many holders share.
package reserver
