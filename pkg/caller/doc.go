// Package caller asks entry instances for addresses, caches the answer and sends requests to them.
package caller
