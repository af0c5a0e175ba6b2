// Package exchanger carries protobuf requests and replies between entry instances over yamux.
package exchanger
