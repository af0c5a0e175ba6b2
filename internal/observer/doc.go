// Package observer exchanges heartbeats with the other members and keeps the last one of each.
package observer
