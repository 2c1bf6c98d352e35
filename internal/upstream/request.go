package upstream

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
)

// newRequest returns the HTTP request of a call. It does not parse a URL.
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

// targetURL returns the URL of a call. A well-formed path is sent exactly as the caller
// wrote it, by means of an opaque URL; a path that begins with two slashes can't be,
// because net/http would take its start for a host.
func targetURL(host string, call Call) *url.URL {
	u := &url.URL{Scheme: "http", Host: host, RawQuery: call.Query}
	path, err := url.PathUnescape(call.Path)
	if err == nil && strings.HasPrefix(call.Path, "/") && !strings.HasPrefix(call.Path, "//") && isVisibleASCII(call.Path) {
		u.Opaque = call.Path
		return u
	}
	u.Path = call.Path
	if err == nil && path != call.Path {
		u.Path = path
		u.RawPath = call.Path
	}
	return u
}

// isVisibleASCII reports whether a path has visible ASCII characters only.
func isVisibleASCII(path string) bool {
	return !strings.ContainsFunc(path, func(r rune) bool { return r <= ' ' || r > '~' })
}

func asReadCloser(r io.Reader) io.ReadCloser {
	if rc, ok := r.(io.ReadCloser); ok {
		return rc
	}
	return io.NopCloser(r)
}
