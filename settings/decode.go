package settings

import (
	"fmt"
	"io"
	"net/netip"
	"os"

	"github.com/hibiscuswick/hibiscuswick/internal/strictjson"
)

// MaxBytes is the maximum size of a settings file.
const MaxBytes = 64 << 10

// Fault is one error in settings; its String method returns text such as
// "drain.limit: is 0s, must be at least 1s".
type Fault = strictjson.Fault

// Load reads and decodes the settings file at path. The error concerns reading the
// file; faults of its content are returned as by Decode.
func Load(path string) (Settings, []Fault, error) {
	f, err := os.Open(path)
	if err != nil {
		return Settings{}, nil, fmt.Errorf("settings: %w", err)
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, MaxBytes+1))
	if err != nil {
		return Settings{}, nil, fmt.Errorf("settings: %w", err)
	}
	s, faults := Decode(text)
	return s, faults, nil
}

// Decode parses settings and returns all of their faults: unknown, missing and
// duplicate fields, wrong types and units, values out of range, and parts that
// contradict each other. Omitted fields get their defaults.
//
// The settings may be used only if there are no faults.
func Decode(text []byte) (Settings, []Fault) {
	var s Settings
	faults := strictjson.Decode(text, MaxBytes, &s)
	if len(faults) > 0 && faults[0].Path == strictjson.Root {
		return s, faults // nothing was read
	}
	if s.PeerAdvertise == "" {
		s.PeerAdvertise = s.PeerAddress
	}
	if s.CallerAdvertise == "" {
		s.CallerAdvertise = s.CallerAddress
	}
	return s, append(faults, s.contradictions()...)
}

// contradictions returns the faults that involve more than one part of s. Fields
// that are zero or malformed were reported during decoding and are skipped.
func (s *Settings) contradictions() []Fault {
	var faults []Fault
	addf := func(path, format string, args ...any) {
		faults = append(faults, strictjson.Faultf(path, format, args...))
	}
	for _, a := range []struct{ path, advertised, listen string }{
		{"peer_advertise", s.PeerAdvertise, s.PeerAddress},
		{"caller_advertise", s.CallerAdvertise, s.CallerAddress},
	} {
		ap, err := netip.ParseAddrPort(a.advertised)
		if err == nil && ap.Addr().IsUnspecified() {
			addf(a.path, "is %q; give an address that others can connect to", a.advertised)
		}
		if err == nil && ap.Port() == 0 && a.advertised != a.listen {
			addf(a.path, "is %q; give a port that others can connect to", a.advertised)
		}
	}
	if s.PeerAddress != "" && s.PeerAddress == s.CallerAddress && !hasPortZero(s.PeerAddress) {
		addf("caller_address", "is %q, which is peer_address too", s.CallerAddress)
	}
	p := s.Peers
	if p.ProbeTimeout > 0 && p.ProbeInterval > 0 && p.ProbeTimeout >= p.ProbeInterval {
		addf("peers.probe_timeout", "is %v, must be below peers.probe_interval, which is %v", p.ProbeTimeout, p.ProbeInterval)
	}
	if p.SilentAfter > 0 && p.SilentAfter <= p.HeartbeatInterval {
		addf("peers.silent_after", "is %v, must be above peers.heartbeat_interval, which is %v", p.SilentAfter, p.HeartbeatInterval)
	}
	if s.Drain.Limit > 0 && s.Drain.Limit <= s.AddressAnswerValid+s.Drain.Notice {
		addf("drain.limit", "is %v, must be above address_answer_valid and drain.notice together, which are %v",
			s.Drain.Limit, s.AddressAnswerValid+s.Drain.Notice)
	}
	return faults
}

// hasPortZero reports whether address has port 0, for which the operating system
// chooses a free port.
func hasPortZero(address string) bool {
	ap, err := netip.ParseAddrPort(address)
	return err == nil && ap.Port() == 0
}
