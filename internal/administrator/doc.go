// Package administrator carries out the operators' commands through the Config stream and waits until they are in force.
package administrator
