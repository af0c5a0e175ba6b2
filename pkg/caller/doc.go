// Package caller is a client for entry instances: it fetches and caches their addresses and sends requests to them.
package caller
