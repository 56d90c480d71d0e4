// Command rollstop stops the daemons of a site in turn, a second apart, under usual traffic.
package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/review/rig"
)

const (
	rounds    = 3
	stopGap   = time.Second // gap_s of the site's rolling stops
	roundTime = 18 * time.Second
)

// The traffic: requests a second of the whole site.
const (
	streamsPerS, unsafePerS, safePerS = 18, 60, 20
	workMs, workSpread, workMost      = 60, 0.5, 440
)

type sent struct {
	rig.Request
	reply rig.Reply
}

func main() { rig.Main(run) }

func run(site *rig.Site, trouble bool) (int, error) {
	rec := site.Rec

	zones := []string{"ernakulam", "kottayam", "alappuzha"}
	site.Store.Put("op", "config", rig.Config(7, []rig.Route{
		{Host: "site.example", Prefix: "/pod/", Kind: "stream", Service: "draft-model", TimeoutMs: 20000, TargetMs: 500, GapMs: 200, Attempts: 2, Resumable: true},
		{Host: "site.example", Prefix: "/doorstep/", Kind: "non_idempotent", Service: "counter-app", TimeoutMs: 3000, TargetMs: 300, Attempts: 1},
		{Host: "site.example", Prefix: "/counter/", Kind: "idempotent", Service: "counter-app", TimeoutMs: 3000, TargetMs: 300, Attempts: 2},
	}, []string{"counter-app"}, []string{"draft-model"}))
	var replicas []*rig.Replica
	for i, zone := range zones {
		app := &rig.Replica{ID: fmt.Sprintf("i-app-%d", i), Service: "counter-app", Zone: zone, Slots: 6,
			Work: func(id string) time.Duration {
				return time.Duration(rig.Draw(id, workMs, workSpread, workMost) * float64(time.Millisecond))
			}}
		draft := &rig.Replica{ID: fmt.Sprintf("i-draft-%d", i), Service: "draft-model", Zone: zone, Slots: 192, Pace: 40 * time.Millisecond,
			Events: func(id string) int { return max(1, int(rig.Draw(id, 77, 0.89, 193))) }}
		for _, r := range []*rig.Replica{app, draft} {
			if err := r.Start(); err != nil {
				return 0, err
			}
			site.Store.Put("servers", r.ID, r.Entry("ready"))
			replicas = append(replicas, r)
		}
	}
	for _, zone := range zones {
		if _, err := site.AddDaemon(zone); err != nil {
			return 0, err
		}
	}
	if err := site.AwaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second) // all machines are in touch

	var mu sync.Mutex
	var all []sent
	var calls, loops sync.WaitGroup
	stop := make(chan struct{})
	n := 0
	for _, zone := range zones {
		client := &rig.Client{Site: site, Zone: zone}
		traffic := func(perS int, kind string, q rig.Request) {
			loops.Go(func() {
				tick := time.NewTicker(time.Second * time.Duration(len(zones)) / time.Duration(perS))
				defer tick.Stop()
				for {
					select {
					case <-stop:
						return
					case <-tick.C:
					}
					mu.Lock()
					n++
					q := q
					q.ID = fmt.Sprintf("%s-%s-%06d", kind, zone[:3], n)
					mu.Unlock()
					calls.Go(func() {
						reply := client.Do(q)
						mu.Lock()
						all = append(all, sent{q, reply})
						mu.Unlock()
					})
				}
			})
		}
		traffic(streamsPerS, "pod", rig.Request{Host: "site.example", Path: "/pod/x", Method: "POST", Body: make([]byte, 800), DeadlineMs: 20000, Stream: true})
		traffic(unsafePerS, "door", rig.Request{Host: "site.example", Path: "/doorstep/x", Method: "POST", Body: make([]byte, 600), DeadlineMs: 3000})
		traffic(safePerS, "count", rig.Request{Host: "site.example", Path: "/counter/x", Method: "GET", DeadlineMs: 3000})
	}
	time.Sleep(4 * time.Second)
	for range rounds {
		var restarts sync.WaitGroup
		round := time.Now()
		for i, d := range site.Daemons {
			if !trouble {
				break
			}
			time.Sleep(time.Until(round.Add(time.Duration(i) * stopGap)))
			restarts.Go(func() { site.Restart(d) })
		}
		restarts.Wait()
		time.Sleep(time.Until(round.Add(roundTime)))
	}
	close(stop)
	loops.Wait()
	calls.Wait()
	return judge(rec, site, replicas, all), nil
}

// judge counts the requests of LOST around a SIGTERM.
func judge(rec *rig.Record, site *rig.Site, replicas []*rig.Replica, all []sent) int {
	lost, excused, answered := 0, 0, 0
	kinds := map[string]int{}
	for _, s := range all {
		r := s.reply
		ran, last := "not run", rig.Run{}
		for _, p := range replicas {
			for _, run := range p.Runs(s.ID) {
				ran, last = fmt.Sprintf("run by %s for %v (%s)", p.ID, run.Ended.Sub(run.Began).Round(time.Millisecond), run.Result), run
			}
		}
		rec.Add("%s to %s kept=%v after %v: status %d complete=%v %v, %s", s.ID, r.Daemon, r.Kept, r.Ended.Sub(r.Sent).Round(time.Millisecond), r.Status, r.Complete, r.Err, ran)
		if r.Complete {
			answered++
			kinds[fmt.Sprintf("%s %d", s.Path, r.Status)]++
			continue
		}
		if !r.Written || r.Timeout || last.Began.IsZero() {
			kinds[s.Path+" not passed on, or given up"]++
			continue
		}
		d := daemonAt(site, r.Daemon)
		term, ok := d.LastTerm(r.Ended)
		sentAfter, endedAfter := r.Sent.Sub(term), r.Ended.Sub(term)
		if !ok || endedAfter > (rig.GraceS+1)*time.Second {
			rec.Say("%s: connection ended without an answer, outside of a planned stop", s.ID)
			kinds[s.Path+" lost outside of a planned stop"]++
			continue
		}
		stillAtWork := last.Ended.Sub(term) >= rig.GraceS*time.Second*5/6
		if sentAfter <= 3*time.Second && stillAtWork {
			excused++
			continue
		}
		lost++
		rec.Say("LOST %s: sent to %s %.2f s after its SIGTERM, %s, connection ended %.2f s after it (status %d, %v)",
			s.ID, d.Name, sentAfter.Seconds(), ran, endedAfter.Seconds(), r.Status, r.Err)
	}
	for kind, n := range kinds {
		rec.Say("%6d %s", n, kind)
	}
	rec.Say("%d requests, %d answered, %d excused by the rule, %d LOST", len(all), answered, excused, lost)
	if lost > 0 {
		return rig.Broken
	}
	return rig.Held
}

func daemonAt(site *rig.Site, front string) *rig.Daemon {
	for _, d := range site.Daemons {
		if d.Front == front {
			return d
		}
	}
	return nil
}
