// Package explainer keeps the latest decision lines of each request for the operators' explain query.
package explainer
