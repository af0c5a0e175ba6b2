// Package placer plans the roles and stages of engines and the number of targets in each availability zone. It does no
// I/O.
package placer
