// Command leak replaces the backend servers of a site one after the other, under usual traffic, and
// tries new connections to its daemons meanwhile.
package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/review/rig"
)

const (
	daemons     = 2
	perService  = 2   // servers of a service that take requests at a time
	streamsPerS = 300 // of the whole site
	events      = 20
	pace        = 50 * time.Millisecond
	releaseGap  = 900 * time.Millisecond // gap_s of the site's releases
	releaseTime = 78 * time.Second
	watchTime   = 12 * time.Second
	tryGap      = 300 * time.Millisecond
	tries       = 7 // clients that try, of RECOVER
)

var services = []string{"draft-model", "assist-llm"}

// try is one new connection to a daemon.
type try struct {
	daemon   string
	at       time.Time
	answered bool
	ready    bool // the daemon's readiness check was answered with 200 meanwhile
	reply    rig.Reply
}

func main() { rig.Main(run) }

func run(site *rig.Site, trouble bool) (int, error) {
	rec := site.Rec
	var routes []rig.Route
	for _, s := range services {
		routes = append(routes, rig.Route{Host: "site.example", Prefix: "/" + s + "/", Kind: "stream", Service: s, TimeoutMs: 20000, TargetMs: 500, GapMs: 200, Attempts: 2, Resumable: true})
	}
	site.Store.Put("op", "config", rig.Config(7, routes, nil, services))
	started := 0
	startServer := func(service string) (*rig.Replica, error) {
		started++
		p := &rig.Replica{ID: fmt.Sprintf("i-%d", started), Service: service, Zone: "ernakulam", Slots: 192, Pace: pace, Events: func(string) int { return events }}
		if err := p.Start(); err != nil {
			return nil, err
		}
		site.Store.Put("servers", p.ID, p.Entry("ready"))
		return p, nil
	}
	active := map[string][]*rig.Replica{}
	for _, s := range services {
		for range perService {
			p, err := startServer(s)
			if err != nil {
				return 0, err
			}
			active[s] = append(active[s], p)
		}
	}
	for range daemons {
		if _, err := site.AddDaemon("ernakulam"); err != nil {
			return 0, err
		}
	}
	if err := site.AwaitReady(10 * time.Second); err != nil {
		return 0, err
	}

	var mu sync.Mutex
	counts := map[string]int{}
	var all []try
	var loops, calls sync.WaitGroup
	stop := make(chan struct{})
	every := func(gap time.Duration, f func(i int)) {
		loops.Go(func() {
			tick := time.NewTicker(gap)
			defer tick.Stop()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				f(i)
			}
		})
	}
	client := &rig.Client{Site: site, Zone: "ernakulam"}
	every(time.Second/streamsPerS, func(i int) {
		calls.Go(func() {
			q := rig.Request{ID: fmt.Sprintf("s%06d", i), Host: "site.example", Path: "/" + services[i%len(services)] + "/x", Method: "POST", Body: []byte(fmt.Sprint("prompt ", i)), DeadlineMs: 20000, Stream: true}
			r := client.Do(q)
			rec.Add("%s to %s: status %d complete=%v %v after %v", q.ID, r.Daemon, r.Status, r.Complete, r.Err, r.Ended.Sub(r.Sent).Round(time.Millisecond))
			mu.Lock()
			counts[fmt.Sprintf("status %d complete=%v", r.Status, r.Complete)]++
			mu.Unlock()
		})
	})
	every(tryGap, func(i int) {
		for k, d := range site.Daemons {
			calls.Go(func() {
				r := rig.Try(d.Front, rig.Request{ID: fmt.Sprintf("t%d-%05d", k, i), Host: "site.example", Path: "/" + services[i%len(services)] + "/t", Method: "POST", Body: []byte(fmt.Sprint("try ", k, i)), DeadlineMs: 5000, Stream: true})
				t := try{daemon: d.Name, at: r.Sent, answered: r.Status != 0, ready: d.IsReady(), reply: r}
				rec.Add("try at %s: status %d ready=%v %v", d.Name, r.Status, t.ready, r.Err)
				mu.Lock()
				all = append(all, t)
				mu.Unlock()
			})
		}
	})
	every(5*time.Second, func(int) {
		for _, d := range site.Daemons {
			rec.Say("%s has %d descriptors of %d", d.Name, d.Sockets(), rig.MaxFds)
		}
	})
	time.Sleep(4 * time.Second)
	var leaving sync.WaitGroup
	for began := time.Now(); time.Since(began) < releaseTime; {
		next := time.Now().Add(releaseGap)
		if !trouble {
			time.Sleep(releaseGap)
			continue
		}
		for _, s := range services {
			p, err := startServer(s)
			if err != nil {
				return 0, err
			}
			old := active[s][0]
			active[s] = append(active[s][1:], p)
			leaving.Go(func() {
				time.Sleep(500 * time.Millisecond) // the new one is in use
				site.Store.Put("servers", old.ID, old.Entry("draining"))
				time.Sleep((rig.DrainMs + 1000) * time.Millisecond)
				site.Store.Remove("servers", old.ID)
				old.Stop()
			})
		}
		time.Sleep(time.Until(next))
	}
	leaving.Wait()
	time.Sleep(watchTime)
	close(stop)
	loops.Wait()
	calls.Wait()
	for kind, n := range counts {
		rec.Say("%6d streams: %s", n, kind)
	}
	return judge(rec, site, all), nil
}

// judge looks for a span of StableMs in which a daemon that is ready took no new connection.
func judge(rec *rig.Record, site *rig.Site, all []try) int {
	broken := 0
	for _, d := range site.Daemons {
		var of []try
		for _, t := range all {
			if t.daemon == d.Name {
				of = append(of, t)
			}
		}
		slices.SortFunc(of, func(a, b try) int { return a.at.Compare(b.at) })
		answered, run, longest := 0, 0, 0
		var since time.Time
		var most time.Duration
		for _, t := range of {
			if t.answered {
				answered++
			}
			if t.answered || !t.ready {
				run = 0
				continue
			}
			if run == 0 {
				since = t.at
			}
			run++
			if run > longest {
				longest, most = run, t.at.Sub(since)
			}
		}
		rec.Say("%s: %d new connections tried, %d answered; the longest span without one, while it was ready: %d tries over %.1f s; it ended by itself %d times",
			d.Name, len(of), answered, longest, most.Seconds(), d.Exits())
		if longest >= tries && most >= rig.StableMs*time.Millisecond {
			broken++
		}
	}
	rec.Say("%d daemons said that they were ready and took no new connection for %d ms", broken, rig.StableMs)
	if broken > 0 {
		return rig.Broken
	}
	return rig.Held
}
