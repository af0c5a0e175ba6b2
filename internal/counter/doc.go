// Package counter counts the requests of each team that start in each usage window, at this instance and its peers.
package counter
