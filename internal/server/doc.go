// Package server serves the HTTP interface of an entry instance to callers and operators.
package server
