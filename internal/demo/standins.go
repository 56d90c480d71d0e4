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

// Base ports of the daemons that StartStandins writes settings for. The n-th daemon,
// counted from 1, listens on base+n.
const (
	callerPortBase = 7080
	peerPortBase   = 7100
)

// StartStandins starts the platform, engines and plain servers of the demo on
// loopback ports and adds n daemons, which are run separately, to the instance list.
// It writes to dir the settings of each daemon, entry-<n>.json, and a document for
// each service.
func StartStandins(dir string, n int) (*site.Site, error) {
	s, err := site.New(telemetry.Discard())
	if err != nil {
		return nil, err
	}
	if err := setUp(s, dir, n); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func setUp(s *site.Site, dir string, n int) error {
	if err := startBackends(s); err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, doc := range []service.Document{draftsDocument(), alertsDocument()} {
		if err := writeJSON(dir, string(doc.Service), doc); err != nil {
			return err
		}
	}
	var ids []string
	for i := range n {
		ids = append(ids, daemonID(i))
	}
	for i := range n {
		if err := writeJSON(dir, ids[i], settingsOf(s, i, ids)); err != nil {
			return err
		}
		s.Platform.PutInstance(platform.Instance{
			ID:      state.InstanceID(ids[i]),
			Role:    platform.RoleEntry,
			Address: loopback(peerPortBase, i),
			Domain:  site.Domains[i%len(site.Domains)],
			Region:  site.Region,
		})
	}
	return nil
}

func daemonID(i int) string {
	return fmt.Sprintf("entry-%d", i+1)
}

func loopback(base, i int) string {
	return fmt.Sprintf("127.0.0.1:%d", base+i+1)
}

// daemonSettings holds the settings of a daemon that have no default, and the seats of
// the customer limits.
type daemonSettings struct {
	ID            string              `json:"id"`
	Instance      string              `json:"instance"`
	Domain        state.FailureDomain `json:"failure_domain"`
	Region        state.Region        `json:"region"`
	PeerAddress   string              `json:"peer_address"`
	CallerAddress string              `json:"caller_address"`
	Platform      platformURLs        `json:"platform"`
	Limits        limitSettings       `json:"limits"`
}

type platformURLs struct {
	Table     string `json:"table_url"`
	Objects   string `json:"objects_url"`
	Instances string `json:"instances_url"`
}

type limitSettings struct {
	Seats []string `json:"seats"`
}

func settingsOf(s *site.Site, i int, seats []string) daemonSettings {
	url := s.Platform.URL()
	return daemonSettings{
		ID:            daemonID(i),
		Instance:      daemonID(i),
		Domain:        site.Domains[i%len(site.Domains)],
		Region:        site.Region,
		PeerAddress:   loopback(peerPortBase, i),
		CallerAddress: loopback(callerPortBase, i),
		Platform:      platformURLs{Table: url, Objects: url, Instances: url},
		Limits:        limitSettings{Seats: seats},
	}
}

func writeJSON(dir, name string, value any) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, name+".json"), append(text, '\n'), 0o644)
}
