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

// checker collects the mistakes that a single value's type and range don't show.
type checker struct {
	places strictyaml.Positions
	known  strictyaml.ErrorList
	found  strictyaml.ErrorList
}

func (s *Settings) check(places strictyaml.Positions, known strictyaml.ErrorList) strictyaml.ErrorList {
	c := &checker{places: places, known: known}
	if _, ok := places["location"]; ok {
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
	c.pair("caller.tls", s.Caller.TLS)
	c.pair("operator.tls", s.Operator.TLS)
	c.operator(s.Operator)
	c.peer(s.Peer)
	return c.found
}

func (c *checker) report(path, message string) {
	if !slices.ContainsFunc(c.known, func(p strictyaml.Error) bool { return p.Path == path }) {
		c.found = append(c.found, c.places.NewError(path, message))
	}
}

func (c *checker) required(path, value string) {
	if value == "" {
		c.report(path, "is required")
	}
}

func (c *checker) address(path, value string) {
	if value == "" {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.report(path, "must be an IP address and a port, such as 10.0.0.1:8080")
	}
}

func (c *checker) url(path, value string) {
	u, err := url.Parse(value)
	if value != "" && (err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https")) {
		c.report(path, "must be a URL such as http://10.0.0.1:7000")
	}
}

func (c *checker) pair(path string, t TLS) {
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
	c.authority("operator.clientCA", o.ClientCA)
}

func (c *checker) authority(path, file string) {
	raw, err := os.ReadFile(file)
	if err != nil {
		c.report(path, err.Error())
		return
	}
	if !x509.NewCertPool().AppendCertsFromPEM(raw) {
		c.report(path, file+" holds no certificate in PEM form")
	}
}

func (c *checker) peer(p Peer) {
	given := 0
	for _, file := range []string{p.CA, p.Cert, p.Key} {
		if file != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		c.report("peer", "needs ca, cert and key together")
	}
	if given == 3 {
		c.authority("peer.ca", p.CA)
		c.pair("peer", TLS{Cert: p.Cert, Key: p.Key})
	}
}
