// Package director chooses which entry instances a client may connect to; it does no I/O.
package director
