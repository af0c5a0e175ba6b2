// Package freshener decides how long an instance may serve on its configuration and when a change is in force everywhere.
package freshener
