// Package exchanger carries protobuf requests and replies between entry instances over yamux sessions.
package exchanger
