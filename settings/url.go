package settings

import (
	"net/netip"
	"net/url"
)

// IsServerURL reports whether text has the form http://IP:port. Processes address
// each other by IP address, because there is no name service.
func IsServerURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" || (u.Path != "" && u.Path != "/") {
		return false
	}
	_, err = netip.ParseAddrPort(u.Host)
	return err == nil
}
