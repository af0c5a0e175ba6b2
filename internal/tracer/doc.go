// Package tracer reconstructs from the logs of entry instances how a request was handled. It opens no files itself.
package tracer
