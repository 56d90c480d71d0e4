package strictjson

import (
	"net/netip"
	"net/url"
	"strings"
)

// Format is a named string format, for the tag "format".
type Format struct {
	// Pattern is the regular expression for the JSON Schema. It may accept more than
	// Check does.
	Pattern string
	// Requirement is the part of a fault that says what the string must be.
	Requirement string
	// Check reports whether the string has the format.
	Check func(text string) bool
}

// Names of the formats returned by Formats.
const (
	FormatName    = "name"     // identifiers that are also used in URLs and row keys
	FormatBackend = "backend"  // names of backend servers, which may contain a port
	FormatIPPort  = "ip-port"  // an IP number and a port
	FormatHTTPURL = "http-url" // an http or https URL whose host is an IP number
)

// Formats returns the known formats by name.
func Formats() map[string]Format {
	return formats
}

var formats = map[string]Format{
	FormatName: {
		Pattern:     `^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`,
		Requirement: "must be 1 to 63 letters, digits, '.', '_' or '-', beginning with a letter or digit",
		Check:       func(text string) bool { return isName(text, 63, "._-") },
	},
	FormatBackend: {
		Pattern:     `^[A-Za-z0-9][A-Za-z0-9._:-]{0,126}$`,
		Requirement: "must be 1 to 127 letters, digits, '.', '_', ':' or '-', beginning with a letter or digit",
		Check:       func(text string) bool { return isName(text, 127, "._:-") },
	},
	FormatIPPort: {
		Pattern:     `^[0-9a-fA-F.:\[\]]+:[0-9]+$`,
		Requirement: `must be an IP number and a port, such as "10.0.0.7:7100"; host names are not resolved`,
		Check:       isIPPort,
	},
	FormatHTTPURL: {
		Pattern:     `^https?://[0-9a-fA-F.:\[\]]+(/.*)?$`,
		Requirement: `must be an http or https URL with an IP number and a port, such as "http://10.0.0.9:8080"; host names are not resolved`,
		Check:       isHTTPURL,
	},
}

// isName reports whether text has 1 to maxLength bytes, each a letter, a digit or,
// except for the first one, a byte of marks.
func isName(text string, maxLength int, marks string) bool {
	if text == "" || len(text) > maxLength || strings.IndexByte(marks, text[0]) >= 0 {
		return false
	}
	for i := range len(text) {
		c := text[i]
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		digit := '0' <= c && c <= '9'
		if !letter && !digit && strings.IndexByte(marks, c) < 0 {
			return false
		}
	}
	return true
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
