// Package server is the HTTP interface of an entry instance towards callers and operators.
package server
