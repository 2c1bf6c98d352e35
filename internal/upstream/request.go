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

// targetURL keeps a well-formed path as the caller wrote it, by an opaque URL. One
// that begins with two slashes would be read as a host there.
func targetURL(host string, call Call) *url.URL {
	u := &url.URL{Scheme: "http", Host: host, RawQuery: call.Query}
	path, err := url.PathUnescape(call.Path)
	if err == nil && strings.HasPrefix(call.Path, "/") && !strings.HasPrefix(call.Path, "//") && isPlain(call.Path) {
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

// isPlain reports whether a path has visible ASCII characters only.
func isPlain(path string) bool {
	return !strings.ContainsFunc(path, func(r rune) bool { return r <= ' ' || r > '~' })
}

func asReadCloser(r io.Reader) io.ReadCloser {
	if rc, ok := r.(io.ReadCloser); ok {
		return rc
	}
	return io.NopCloser(r)
}
