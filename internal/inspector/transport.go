package inspector

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// Transport fails a request whose response is not in order; RoundTripper must be set.
type Transport struct {
	http.RoundTripper
}

// RoundTrip sends a request. It also checks informational responses, and the trailer at the end of the body.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error { return CheckFields(http.Header(h)) },
	})
	res, err := t.RoundTripper.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(res); err != nil {
		return nil, errors.Join(err, res.Body.Close())
	}
	res.Body = &checkedBody{res.Body, res}
	return res, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// checkedBody is a body whose trailer is checked at its end.
type checkedBody struct {
	io.ReadCloser
	res *http.Response
}

// Read reads from the body.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		if fieldErr := CheckFields(b.res.Trailer); fieldErr != nil {
			err = fieldErr
		}
	case err != nil:
		err = fmt.Errorf("%w: %w", ErrBrokenOff, err)
	}
	return n, err
}
