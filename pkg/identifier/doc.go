// Package identifier holds the named types for ids and units that the packages of coltsfootscale share.
package identifier
