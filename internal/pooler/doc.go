// Package pooler keeps a pool of HTTP/1.1 connections to targets.
//
// Unlike http.Transport, it never sends a request a second time by itself, and it detects responses that belong to
// another request on the same connection.
package pooler
