// Package spooler writes lines to an output that may be slow or stand still, without making those who write the lines wait.
package spooler
