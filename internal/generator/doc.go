// Package generator sends a bounded load with a shifting prompt-to-output mix and measures the answers.
package generator
