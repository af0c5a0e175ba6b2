// Package relayer serves callers: it admits, routes, relays, resumes and accounts their requests.
package relayer
