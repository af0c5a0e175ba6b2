// Package provider talks to the platform: its log, its instance list, target orders and usage reports.
package provider
