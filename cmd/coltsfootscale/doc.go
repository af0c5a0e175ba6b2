// Command coltsfootscale runs an entry instance, or one of the commands for operators and callers.
package main
