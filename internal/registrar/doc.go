// Package registrar keeps the list of targets with their stages, and whether they are leaving.
package registrar
