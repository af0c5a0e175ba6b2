// Package messenger defines the protobuf messages that entry instances exchange.
package messenger
