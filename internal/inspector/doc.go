// Package inspector finds responses that are no HTTP, although net/http accepts them.
package inspector
