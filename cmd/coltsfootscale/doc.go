// Command coltsfootscale runs an entry instance or a command of an operator or caller.
package main
