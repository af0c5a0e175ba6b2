// Package messenger holds the protobuf messages that entry instances exchange.
package messenger
