// Package networker opens listeners and connections; tests replace TCP with a network of their own.
package networker
