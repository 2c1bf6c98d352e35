package upstream

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
)

// UnsendablePathError reports a path that can't be sent as it is.
type UnsendablePathError struct{ Path string }

func (e *UnsendablePathError) Error() string { return fmt.Sprintf("path %.100q can't be sent", e.Path) }

// CheckPath returns *UnsendablePathError if a path can't be sent byte for byte, or nil.
func CheckPath(path string) error {
	if !strings.HasPrefix(path, "/") || strings.ContainsFunc(path, isControlOrSpace) {
		return &UnsendablePathError{Path: path}
	}
	if _, sendable := rawPathURL(path); !sendable {
		return &UnsendablePathError{Path: path}
	}
	return nil
}

// rawPathURL returns a URL for a path that begins with two slashes, which net/http would take
// for the start of a host in an opaque URL. It reports false if net/http would escape the path
// anew. For other paths it returns the zero value.
func rawPathURL(path string) (u url.URL, sendable bool) {
	if !strings.HasPrefix(path, "//") {
		return url.URL{}, true
	}
	unescaped, err := url.PathUnescape(path)
	u = url.URL{Path: unescaped, RawPath: path}
	return u, err == nil && u.EscapedPath() == path
}

// newRequest returns the HTTP request of a call. It does not parse a URL. The error is
// *UnsendablePathError.
func newRequest(ctx context.Context, host string, call Call) (*http.Request, error) {
	target, err := targetURL(host, call)
	if err != nil {
		return nil, err
	}
	req := &http.Request{
		Method:        call.Method,
		URL:           target,
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
	return req.WithContext(ctx), nil
}

// targetURL returns the URL of a call, whose RequestURI is exactly what the caller sent: the
// path is an opaque URL or, where it begins with two slashes, a raw path.
func targetURL(host string, call Call) (*url.URL, error) {
	if err := CheckPath(call.Path); err != nil {
		return nil, err
	}
	u, _ := rawPathURL(call.Path)
	if u.Path == "" {
		u.Opaque = call.Path
	}
	u.Scheme, u.Host, u.RawQuery, u.ForceQuery = "http", host, call.Query, call.ForceQuery
	return &u, nil
}

// isControlOrSpace reports whether a character can't stand in a request line.
func isControlOrSpace(r rune) bool { return r <= ' ' || r == '\x7f' }

func asReadCloser(r io.Reader) io.ReadCloser {
	if rc, ok := r.(io.ReadCloser); ok {
		return rc
	}
	return io.NopCloser(r)
}
