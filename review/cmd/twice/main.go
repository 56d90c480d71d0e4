// Command twice sends non-idempotent requests to a service whose server turns a part of them away and
// gives some of its answers twice, the second time late.
package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/review/rig"
)

const (
	daemons          = 2
	slots, queue     = 6, 24
	workMs, workMost = 15, 110
	perS             = 36 // requests of the whole site
	shedShare        = 0.45
	extraShare       = 0.03
	retryAfter       = 0.05 // seconds
	runTime          = 95 * time.Second
)

func main() { rig.Main(run) }

func run(site *rig.Site, trouble bool) (int, error) {
	rec := site.Rec
	site.Store.Put("op", "config", rig.Config(7, []rig.Route{
		{Host: "site.example", Prefix: "/doorstep/", Kind: "non_idempotent", Service: "counter-app", TimeoutMs: 3000, TargetMs: 300, Attempts: 1},
	}, []string{"counter-app"}, nil))
	p := &rig.Repeater{ID: "i-app-0", Service: "counter-app", Zone: "ernakulam", Slots: slots, Queue: queue, RetryAfter: retryAfter, Shed: shedShare, Extra: extraShare,
		Work: func(id string) time.Duration {
			return time.Duration(rig.Draw(id, workMs, 0.5, workMost) * float64(time.Millisecond))
		}}
	if err := p.Start(rand.Uint64()); err != nil {
		return 0, err
	}
	site.Store.Put("servers", p.ID, p.Entry())
	var clients []*rig.Client
	for range daemons {
		if _, err := site.AddDaemon("ernakulam"); err != nil {
			return 0, err
		}
	}
	if err := site.AwaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	for range site.Daemons {
		clients = append(clients, &rig.Client{Site: site, Zone: "ernakulam"})
	}
	time.Sleep(4 * time.Second)
	p.SetFaulty(trouble)

	type sent struct {
		id    string
		reply rig.Reply
	}
	var mu sync.Mutex
	var all []sent
	var calls sync.WaitGroup
	began := time.Now()
	for n, next := 0, began; time.Since(began) < runTime; n++ {
		next = next.Add(time.Duration(rand.ExpFloat64() / perS * float64(time.Second)))
		time.Sleep(time.Until(next))
		calls.Go(func() {
			id := fmt.Sprintf("d%06d", n)
			r := clients[n%len(clients)].Do(rig.Request{ID: id, Host: "site.example", Path: "/doorstep/x", Method: "POST", Body: []byte("check of " + id), DeadlineMs: 3000})
			mu.Lock()
			all = append(all, sent{id, r})
			mu.Unlock()
		})
	}
	calls.Wait()

	twice, refused := 0, 0
	statuses := map[int]int{}
	for _, s := range all {
		var ran []string
		for _, at := range p.Runs(s.id) {
			ran = append(ran, fmt.Sprintf("%.3f s", at.Sub(began).Seconds()))
		}
		statuses[s.reply.Status]++
		rec.Add("%s to %s: status %d complete=%v %v, sent at %.3f s, run at %v", s.id, s.reply.Daemon, s.reply.Status, s.reply.Complete, s.reply.Err, s.reply.Sent.Sub(began).Seconds(), ran)
		if len(ran) > 1 {
			twice++
			rec.Say("TWICE %s: sent at %.3f s, status %d, run at %v", s.id, s.reply.Sent.Sub(began).Seconds(), s.reply.Status, ran)
		}
		if len(ran) > 0 && s.reply.Status == 503 {
			refused++
			rec.Say("REFUSED %s: sent at %.3f s, status %d, run at %v", s.id, s.reply.Sent.Sub(began).Seconds(), s.reply.Status, ran)
		}
	}
	rec.Say("%s: %v", p.ID, p.Counts())
	rec.Say("%d requests, statuses %v: %d ran more than once, %d were refused and ran", len(all), statuses, twice, refused)
	if twice+refused > 0 {
		return rig.Broken, nil
	}
	return rig.Held, nil
}
