// Command standin runs a stand-in for the platform, a model engine or a plain service in demos and tests.
package main
