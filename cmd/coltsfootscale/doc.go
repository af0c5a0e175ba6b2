// Command coltsfootscale runs an entry instance and the operators' and callers' commands.
package main
