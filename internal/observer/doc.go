// Package observer exchanges heartbeats with the other members and keeps what each last said.
package observer
