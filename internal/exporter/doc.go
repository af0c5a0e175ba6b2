// Package exporter keeps the latest tally metrics and answers with them over HTTP.
package exporter
