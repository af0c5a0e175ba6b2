// Package arbiter decides until when an instance may serve with the configuration it has, and when a configuration
// change is in force at every instance.
package arbiter
