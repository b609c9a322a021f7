package chivehillresponse

import "net/http"

// Transport sends requests over HTTP and returns only responses that pass Check.
type Transport struct{ *http.Transport }

// NewClient returns a client that uses the transport and returns only responses that pass Check.
func NewClient(t *http.Transport) *http.Client {
	return &http.Client{Transport: Transport{Transport: t}}
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
