// Package tracker follows the targets: load reports, cache events, health and what this instance sent.
package tracker
