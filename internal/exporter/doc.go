// Package exporter keeps the latest values of tally metrics and serves them over HTTP.
package exporter
