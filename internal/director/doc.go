// Package director chooses the entry instances whose addresses a client receives; it does no I/O.
package director
