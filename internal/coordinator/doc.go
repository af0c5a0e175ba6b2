// Package coordinator runs an entry instance on the users' machines: it joins requests, targets, peers, store and duties.
package coordinator
