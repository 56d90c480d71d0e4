package rig

import (
	"errors"
	"fmt"
	"os"
)

// CannotRun reports why a case could not run, and returns its exit status.
func CannotRun(err error) int {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	return 2
}

// AddServer starts the n-th server and lists it.
func (s *Site) AddServer(n int, id, service string, handle func(r *Request) bool) (*Server, error) {
	srv, err := StartServer(id, fmt.Sprintf("%s%d:0", s.Net, 100+n), handle)
	if err != nil {
		return nil, err
	}
	s.List(srv, service, "ready", "")
	return srv, nil
}

// StartDaemons starts daemons of the given zones, one in each, and waits until all are ready.
func (s *Site) StartDaemons(zones ...string) ([]*Daemon, error) {
	var all []*Daemon
	count := map[string]int{}
	for i, zone := range zones {
		count[zone]++
		d, err := s.StartDaemon(1+i, fmt.Sprintf("edge-%s-%d", zone, count[zone]), zone)
		if err != nil {
			return nil, err
		}
		all = append(all, d)
	}
	for _, d := range all {
		if !d.AwaitReady() {
			return nil, errors.New(d.Name + " is not ready")
		}
	}
	return all, nil
}
