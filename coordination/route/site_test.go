package route_test

import (
	"slices"

	"github.com/hibiscuswick/hibiscuswick/coordination/route/compare"
)

// other returns a daemon that is alive and not d.
func (s *site) other(d *compare.Daemon) int {
	return slices.IndexFunc(s.Daemons, func(o *compare.Daemon) bool { return o != d && !o.Dead })
}

// runs counts the executions of all engines.
func (s *site) runs() int {
	n := 0
	for _, e := range s.Engines {
		n += e.Started
	}
	return n
}

func (s *site) completed() int {
	n := 0
	for _, j := range s.jobs {
		if !j.Done.IsZero() {
			n++
		}
	}
	return n
}

func (s *site) refused() int {
	n := 0
	for _, j := range s.jobs {
		if j.Refused != "" {
			n++
		}
	}
	return n
}
