// Package gossiper exchanges beats with the other entry instances: who is alive, what each knows and what each does.
package gossiper
