// Command standin runs a stand-in of the platform, an engine or a plain service for demos and tests.
package main
