package settings

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strconv"

	"redwingpoint.org/redwingpoint/internal/strictyaml"
)

// checker validates settings beyond the types and ranges of single values, which the
// decoder has checked.
type checker struct {
	positions  strictyaml.Positions
	decodeErrs strictyaml.ErrorList
	errs       strictyaml.ErrorList
}

// check returns the errors of s. The argument positions holds the positions of the keys
// in the file, decodeErrs the errors found by the decoder.
func (s *Settings) check(positions strictyaml.Positions, decodeErrs strictyaml.ErrorList) strictyaml.ErrorList {
	c := &checker{positions: positions, decodeErrs: decodeErrs}
	if _, ok := positions["location"]; ok {
		c.required("location.region", string(s.Location.Region))
		c.required("location.failureDomain", string(s.Location.FailureDomain))
	}
	c.address("caller.listen", s.Caller.Listen)
	c.address("operator.listen", s.Operator.Listen)
	c.address("peer.listen", s.Peer.Listen)
	for i, seed := range s.Peer.Seeds {
		c.address("peer.seeds["+strconv.Itoa(i)+"]", seed)
	}
	c.url("platform.url", s.Platform.URL)
	c.keyPair("caller.tls", s.Caller.TLS)
	c.keyPair("operator.tls", s.Operator.TLS)
	c.operator(s.Operator)
	c.peer(s.Peer)
	return c.errs
}

// report adds an error, unless the decoder has found one at the same path.
func (c *checker) report(path, message string) {
	if !slices.ContainsFunc(c.decodeErrs, func(e strictyaml.Error) bool { return e.Path == path }) {
		c.errs = append(c.errs, c.positions.NewError(path, message))
	}
}

// required reports an empty value.
func (c *checker) required(path, value string) {
	if value == "" {
		c.report(path, "is required")
	}
}

// address reports a value that is neither empty nor an IP address and a port.
func (c *checker) address(path, value string) {
	if value == "" {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.report(path, "must be an IP address and a port, such as 10.0.0.1:8080")
	}
}

// url reports a value that is neither empty nor an HTTP URL.
func (c *checker) url(path, value string) {
	u, err := url.Parse(value)
	if value != "" && (err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https")) {
		c.report(path, "must be a URL such as http://10.0.0.1:7000")
	}
}

// keyPair reports a certificate and key that are incomplete or can't be loaded. Both may
// be empty.
func (c *checker) keyPair(path string, t TLS) {
	if t.Cert == "" && t.Key == "" {
		return
	}
	if t.Cert == "" || t.Key == "" {
		c.report(path, "needs both cert and key")
		return
	}
	if _, err := tls.LoadX509KeyPair(t.Cert, t.Key); err != nil {
		c.report(path, err.Error())
	}
}

// operator reports an operator endpoint without authentication, or with client
// certificates that can't be verified.
func (c *checker) operator(o Operator) {
	if o.Token == "" && o.ClientCA == "" {
		c.report("operator", "needs token or clientCA; without either it answers nobody")
	}
	if o.ClientCA == "" {
		return
	}
	if !o.TLS.Enabled() {
		c.report("operator.clientCA", "needs operator.tls")
	}
	c.caFile("operator.clientCA", o.ClientCA)
}

// caFile reports a file without a certificate.
func (c *checker) caFile(path, file string) {
	raw, err := os.ReadFile(file)
	if err != nil {
		c.report(path, err.Error())
		return
	}
	if !x509.NewCertPool().AppendCertsFromPEM(raw) {
		c.report(path, file+" holds no certificate in PEM form")
	}
}

// peer reports peer certificate files that are incomplete or can't be loaded. All may be
// empty.
func (c *checker) peer(p Peer) {
	count := 0
	for _, file := range []string{p.CA, p.Cert, p.Key} {
		if file != "" {
			count++
		}
	}
	if count != 0 && count != 3 {
		c.report("peer", "needs ca, cert and key together")
	}
	if count == 3 {
		c.caFile("peer.ca", p.CA)
		c.keyPair("peer", TLS{Cert: p.Cert, Key: p.Key})
	}
}
