// Package forwarder handles one client request from admission, through targets and retries, to its final answer.
package forwarder
