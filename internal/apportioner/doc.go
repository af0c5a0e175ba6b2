// Package apportioner shares out among all instances what a target accepts from them together.
package apportioner
