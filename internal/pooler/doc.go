// Package pooler keeps HTTP/1.1 connections to targets and sends each request exactly once on one of them.
package pooler
