// Package counter counts the requests of each team that began to run in each usage window, here and at peers.
package counter
