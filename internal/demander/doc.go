// Package demander measures the demand for prompts of each service, here and at peers, and remembers its peak.
package demander
