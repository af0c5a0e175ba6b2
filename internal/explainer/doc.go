// Package explainer keeps the log lines of recent requests for the operators' explain query.
package explainer
