package demo

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/hibiscuswick/hibiscuswick/internal/site"
	"github.com/hibiscuswick/hibiscuswick/protocol/platform"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// Ports of the daemons that Standins writes settings for: the n-th, counted from
// 1, listens on the base and n.
const (
	callerPorts = 7080
	peerPorts   = 7100
)

// Standins starts the platform, engines and plain servers of the demo on loopback
// ports, lists n daemons that are to be run beside them, and writes to dir what
// those need: entry-<n>.json, the settings of each, and a document for each service.
func StartStandins(dir string, n int) (*site.Site, error) {
	s, err := site.New(telemetry.Discard())
	if err != nil {
		return nil, err
	}
	if err := prepare(s, dir, n); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func prepare(s *site.Site, dir string, n int) error {
	if err := startBackends(s); err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, doc := range []service.Document{draftsDocument(), alertsDocument()} {
		if err := write(dir, string(doc.Service), doc); err != nil {
			return err
		}
	}
	var ids []string
	for i := range n {
		ids = append(ids, entryID(i))
	}
	for i := range n {
		if err := write(dir, ids[i], entrySettings(s, i, ids)); err != nil {
			return err
		}
		s.Platform.PutInstance(platform.Instance{
			ID:      state.InstanceID(ids[i]),
			Role:    platform.RoleEntry,
			Address: loopback(peerPorts, i),
			Domain:  site.Domains[i%len(site.Domains)],
			Region:  site.Region,
		})
	}
	return nil
}

func entryID(i int) string {
	return fmt.Sprintf("entry-%d", i+1)
}

func loopback(base, i int) string {
	return fmt.Sprintf("127.0.0.1:%d", base+i+1)
}

// entryFile is the part of a daemon's settings that has no default, and the seats
// of the limits.
type entryFile struct {
	ID            string              `json:"id"`
	Instance      string              `json:"instance"`
	Domain        state.FailureDomain `json:"failure_domain"`
	Region        state.Region        `json:"region"`
	PeerAddress   string              `json:"peer_address"`
	CallerAddress string              `json:"caller_address"`
	Platform      platformURLs        `json:"platform"`
	Limits        limitSeats          `json:"limits"`
}

type platformURLs struct {
	Table     string `json:"table_url"`
	Objects   string `json:"objects_url"`
	Instances string `json:"instances_url"`
}

type limitSeats struct {
	Seats []string `json:"seats"`
}

func entrySettings(s *site.Site, i int, seats []string) entryFile {
	url := s.Platform.URL()
	return entryFile{
		ID:            entryID(i),
		Instance:      entryID(i),
		Domain:        site.Domains[i%len(site.Domains)],
		Region:        site.Region,
		PeerAddress:   loopback(peerPorts, i),
		CallerAddress: loopback(callerPorts, i),
		Platform:      platformURLs{Table: url, Objects: url, Instances: url},
		Limits:        limitSeats{Seats: seats},
	}
}

func write(dir, name string, value any) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, name+".json"), append(text, '\n'), 0o644)
}
