// Package recorder holds the log's records and folded states as protobuf messages.
package recorder
