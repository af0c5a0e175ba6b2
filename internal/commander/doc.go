// Package commander is the command line: it parses and checks all arguments and files before any work starts.
package commander
