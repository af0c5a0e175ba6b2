// Package pinner keeps streams at the build that began them. It remembers at which build each stream began, on several
// instances, and finds it for an instance that goes on with the stream.
package pinner
