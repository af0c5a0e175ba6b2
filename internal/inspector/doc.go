// Package inspector finds responses whose heads or trailers are no HTTP, although net/http accepts them.
package inspector
