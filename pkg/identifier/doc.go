// Package identifier defines the types for IDs and units that all packages of coltsfootscale use.
package identifier
