// Package recorder defines the records of the platform's log, and the states folded from them, as protobuf messages.
package recorder
