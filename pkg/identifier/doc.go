// Package identifier defines the types for ids and units that all packages of coltsfootscale use.
package identifier
