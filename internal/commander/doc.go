// Package commander implements the command line: it validates all arguments and files before any work starts.
package commander
