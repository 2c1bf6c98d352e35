package upstream

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
)

// newRequest builds the request by hand: parsing a URL is not needed.
func newRequest(ctx context.Context, host string, call Call) *http.Request {
	req := &http.Request{
		Method:        call.Method,
		URL:           targetURL(host, call),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        call.Header,
		Host:          cmp.Or(call.Host, host),
		ContentLength: call.ContentLength,
	}
	if call.ContentLength != 0 && call.Body != nil {
		req.Body = asReadCloser(call.Body)
	}
	return req.WithContext(ctx)
}

// targetURL keeps the path as the caller wrote it. An opaque URL does so to the
// letter; one that begins with two slashes would be read as a host.
func targetURL(host string, call Call) *url.URL {
	u := &url.URL{Scheme: "http", Host: host, RawQuery: call.Query}
	if strings.HasPrefix(call.Path, "/") && !strings.HasPrefix(call.Path, "//") {
		u.Opaque = call.Path
		return u
	}
	u.Path = call.Path
	if path, err := url.PathUnescape(call.Path); err == nil && path != call.Path {
		u.Path = path
		u.RawPath = call.Path
	}
	return u
}

func asReadCloser(r io.Reader) io.ReadCloser {
	if rc, ok := r.(io.ReadCloser); ok {
		return rc
	}
	return io.NopCloser(r)
}
