package coordinator

import "net/http"

// lastWriter announces the end of the connection in a response that is the last one on it.
type lastWriter struct {
	http.ResponseWriter
	// last reports whether the next response is the last one.
	last        func() bool
	wroteHeader bool
}

// Unwrap returns the writer for http.ResponseController.
func (w *lastWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader sends the header.
func (w *lastWriter) WriteHeader(status int) {
	if !w.wroteHeader && w.last() {
		w.Header().Set("Connection", "close")
	}
	w.wroteHeader = w.wroteHeader || status >= http.StatusOK
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the response.
func (w *lastWriter) Write(p []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}
