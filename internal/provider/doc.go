// Package provider is a client of the platform's HTTP interface: its log, instance list, target orders and usage reports.
package provider
