// Command bodies sends large requests to the daemons of a site, in pulses, and ends daemons that exceed
// the memory that their settings give them.
package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/review/rig"
)

const (
	daemons   = 2
	usual     = 48 // clients of a daemon in a pulse
	bodyBytes = rig.MaxBodyBytes
	pulses    = 10
	pulseGap  = 5 * time.Second
	pulseTime = 200 * time.Millisecond // over which a pulse's clients send
)

func main() { rig.Main(run) }

func run(site *rig.Site, trouble bool) (int, error) {
	rec := site.Rec
	site.Store.Put("op", "config", rig.Config(7, []rig.Route{
		{Host: "site.example", Prefix: "/doorstep/", Kind: "non_idempotent", Service: "counter-app", TimeoutMs: 3000, TargetMs: 300, Attempts: 1},
	}, []string{"counter-app"}, nil))
	for i := range 3 {
		app := &rig.Replica{ID: fmt.Sprintf("i-app-%d", i), Service: "counter-app", Zone: "ernakulam", Slots: 6, Queue: 24,
			Work: func(string) time.Duration { return 60 * time.Millisecond }}
		if err := app.Start(); err != nil {
			return 0, err
		}
		site.Store.Put("servers", app.ID, app.Entry("ready"))
	}
	for range daemons {
		if _, err := site.AddDaemon("ernakulam"); err != nil {
			return 0, err
		}
	}
	if err := site.AwaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)

	ends, most := make([]int, daemons), make([]int, daemons)
	stop := make(chan struct{})
	var watches sync.WaitGroup
	for i, d := range site.Daemons {
		watches.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				mb := d.ResidentMb()
				most[i] = max(most[i], mb)
				if mb <= rig.MemoryMb {
					continue
				}
				ends[i]++
				rec.Say("%s has %d MB of %d: the platform ends it", d.Name, mb, rig.MemoryMb)
				if err := site.Kill(d); err != nil {
					rec.Say("%v", err)
				}
			}
		})
	}
	clients := usual
	if trouble {
		clients = usual * 17 / 10 // x = 1.7 of the site's bursts
	}
	if n, err := strconv.Atoi(os.Getenv("CLIENTS")); err == nil {
		clients = n
	}
	var mu sync.Mutex
	counts := map[string]int{}
	for pulse := range pulses {
		began := time.Now()
		var calls sync.WaitGroup
		for k, d := range site.Daemons {
			for i := range clients {
				calls.Go(func() {
					time.Sleep(pulseTime * time.Duration(i) / time.Duration(clients))
					body := make([]byte, bodyBytes)
					id := fmt.Sprintf("p%d-%d-%d", pulse, k, i)
					copy(body, id)
					r := rig.Try(d.Front, rig.Request{ID: id, Host: "site.example", Path: "/doorstep/x", Method: "POST", Body: body, DeadlineMs: 3000})
					rec.Add("%s to %s: status %d complete=%v %v", id, d.Name, r.Status, r.Complete, r.Err)
					mu.Lock()
					counts[fmt.Sprintf("status %d complete=%v", r.Status, r.Complete)]++
					mu.Unlock()
				})
			}
		}
		calls.Wait()
		time.Sleep(time.Until(began.Add(pulseGap)))
	}
	close(stop)
	watches.Wait()
	for kind, n := range counts {
		rec.Say("%6d requests: %s", n, kind)
	}
	broken := 0
	for i, d := range site.Daemons {
		rec.Say("%s: at most %d MB of %d, ended %d times for its memory", d.Name, most[i], rig.MemoryMb, ends[i])
		if ends[i] >= 3 {
			broken++
		}
	}
	if broken >= 2 {
		return rig.Broken, nil
	}
	return rig.Held, nil
}
