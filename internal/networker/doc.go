// Package networker opens listeners and connections, on TCP or as the test's network does.
package networker
