// Package estimator measures the prefill demand of each service, on this instance and on its peers, and its recent peak.
package estimator
