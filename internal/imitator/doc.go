// Package imitator provides stand-ins for the platform, model engines, plain services and the network between hosts. They
// inject faults on demand and count calls that must not occur.
package imitator
