package strictjson

import (
	"net/netip"
	"net/url"
	"regexp"
)

// Format is a named shape of a text, for the tag "format".
type Format struct {
	// Pattern is the regular expression that a JSON Schema states; it may
	// allow more than Check does.
	Pattern string
	// Want says in words what the text must be.
	Want string
	// Check reports whether the text has the format.
	Check func(text string) bool
}

// The names of Formats.
const (
	FormatName    = "name"     // identifiers that also stand in URLs and row keys
	FormatBackend = "backend"  // names of backend servers, which may hold a port
	FormatIPPort  = "ip-port"  // an IP number and a port
	FormatHTTPURL = "http-url" // an http or https URL whose host is an IP number
)

// Formats returns the known formats by name.
func Formats() map[string]Format {
	return formats
}

var formats = map[string]Format{
	FormatName: matching(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`,
		"must be 1 to 63 letters, digits, '.', '_' or '-', beginning with a letter or digit"),
	FormatBackend: matching(`^[A-Za-z0-9\[][A-Za-z0-9._:\[\]-]{0,126}$`,
		"must be 1 to 127 letters, digits, '.', '_', ':' or '-', beginning with a letter or digit"),
	FormatIPPort: {
		Pattern: `^[0-9a-fA-F.:\[\]]+:[0-9]+$`,
		Want:    `must be an IP number and a port, such as "10.0.0.7:7100"; host names are not resolved`,
		Check:   isIPPort,
	},
	FormatHTTPURL: {
		Pattern: `^https?://[0-9a-fA-F.:\[\]]+(/.*)?$`,
		Want:    `must be an http or https URL with an IP number and a port, such as "http://10.0.0.9:8080"; host names are not resolved`,
		Check:   isHTTPURL,
	},
}

func matching(pattern, want string) Format {
	return Format{Pattern: pattern, Want: want, Check: regexp.MustCompile(pattern).MatchString}
}

func isIPPort(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

func isHTTPURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" {
		return false
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return false
	}
	ap, err := netip.ParseAddrPort(u.Host)
	return err == nil && ap.Port() != 0
}
