// Package relayer serves callers' requests: it authenticates and admits them, routes them to targets, relays the
// answers, resumes interrupted ones on another target and accounts the usage.
package relayer
