// Package prober finds out which targets cannot be reached from this instance, by the answers that it gets and, once these are
// missing, by connections that it opens.
package prober
