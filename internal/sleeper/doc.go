// Package sleeper sleeps for a duration or until a context ends.
package sleeper
