package route_test

import (
	"slices"

	"github.com/hibiscuswick/hibiscuswick/coordination/route/compare"
)

// otherDaemon returns the index of a live daemon other than d.
func (s *cluster) otherDaemon(d *compare.Daemon) int {
	return slices.IndexFunc(s.Daemons, func(o *compare.Daemon) bool { return o != d && !o.Dead })
}

// startedJobs returns the number of jobs started on all engines.
func (s *cluster) startedJobs() int {
	n := 0
	for _, e := range s.Engines {
		n += e.Started
	}
	return n
}

func (s *cluster) completedJobs() int {
	n := 0
	for _, j := range s.jobs {
		if !j.Done.IsZero() {
			n++
		}
	}
	return n
}

func (s *cluster) refusedJobs() int {
	n := 0
	for _, j := range s.jobs {
		if j.Refused != "" {
			n++
		}
	}
	return n
}
