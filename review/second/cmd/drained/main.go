// Command drained shows until when daemons that nothing disturbs send requests to a server that has left the
// list, while another daemon of the site freezes and wakes again.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/hibiscuswick/hibiscuswick/review/second/rig"
)

const (
	servers    = 3
	rate       = 75 // requests per second, of all callers together
	deadline   = time.Second
	workTime   = 15 * time.Millisecond
	drainTime  = 2 * time.Second // DrainMs
	servesMore = 300 * time.Millisecond
	playTime   = 72 * time.Second
	freezeTime = 4 * time.Second // for_s of the site file
	wakeTime   = 1200 * time.Millisecond
	leaveAfter = 200 * time.Millisecond // after the begin of a freeze
)

// zones are those of the daemons, as in the smaller one of the two sites.
var zones = []string{"b", "b", "b", "a", "a", "c", "c"}

// departure is the removal of a server's entry, as the store has acknowledged it.
type departure struct {
	mu sync.Mutex
	at map[string]time.Time // by server
}

func (d *departure) of(id string) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.at[id]
	return at, ok
}

func main() {
	os.Exit(play())
}

func play() int {
	trouble := os.Getenv("TROUBLE") != "0"
	s, err := rig.NewSite(filepath.Join(os.Getenv("CASE"), "record.txt"))
	if err != nil {
		return rig.CannotRun(err)
	}
	defer s.Close()
	s.Config(1, "", rig.Route{Prefix: "/check/", Kind: "idempotent", Service: "app", TimeoutMs: 1000, Attempts: 2})
	gone := &departure{at: map[string]time.Time{}}
	var sentTo sync.Map // the daemon that a request was sent to
	var mu sync.Mutex
	late := map[string]time.Duration{} // by request
	arrived := 0
	frozen := ""
	add := func(n int) (*rig.Server, error) {
		id := fmt.Sprintf("i-%d", n)
		return s.AddServer(n, id, "app", func(r *rig.Request) bool {
			now := time.Now()
			mu.Lock()
			arrived++
			mu.Unlock()
			daemon, _ := sentTo.Load(r.ID)
			s.Log("server %s runs %s of %v", id, r.ID, daemon)
			if at, left := gone.of(id); left {
				after := now.Sub(at)
				s.Log("request %s of %v reaches %s %d ms after its entry was removed", r.ID, daemon, id, after.Milliseconds())
				if after > drainTime && daemon != frozen {
					mu.Lock()
					late[r.ID] = after
					mu.Unlock()
					s.Log("DRAIN broken: %s reached %s %d ms after it had left", r.ID, id, after.Milliseconds())
				}
			}
			time.Sleep(workTime)
			return r.Answer(200, "checked", rig.HeaderStamp+": "+id)
		})
	}
	var listed []*rig.Server
	for n := range servers {
		srv, err := add(n)
		if err != nil {
			return rig.CannotRun(err)
		}
		listed = append(listed, srv)
	}
	fronts, err := s.StartDaemons(zones...)
	if err != nil {
		return rig.CannotRun(err)
	}
	// The last daemon by name follows the store for the others.
	last := fronts[0]
	for _, d := range fronts {
		if d.Name > last.Name {
			last = d
		}
	}
	frozen = last.Name
	began := time.Now()
	over := func() bool { return time.Since(began) > playTime }
	var all sync.WaitGroup
	all.Go(func() { // planned work: servers are replaced, one after the other
		for n := servers; !over(); n++ {
			if trouble {
				last.Signal(syscall.SIGSTOP)
				s.Log("%s freezes", last.Name)
			}
			time.Sleep(leaveAfter)
			srv, err := add(n)
			if err != nil {
				return
			}
			old := listed[0]
			listed = append(listed[1:], srv)
			s.Store.Drop("servers", old.ID)
			gone.mu.Lock()
			gone.at[old.ID] = time.Now()
			gone.mu.Unlock()
			s.Log("the entry of %s is removed; %s is listed", old.ID, srv.ID)
			time.AfterFunc(drainTime+servesMore, func() {
				old.Kill()
				s.Log("%s has ended", old.ID)
			})
			time.Sleep(freezeTime - leaveAfter)
			if trouble {
				last.Signal(syscall.SIGCONT)
				s.Log("%s wakes", last.Name)
			}
			time.Sleep(wakeTime)
		}
	})
	statuses := map[int]int{}
	for n := 0; !over(); n++ {
		d := fronts[rand.IntN(len(fronts))]
		id := fmt.Sprintf("%08x%08x", rand.Uint32(), n)
		sentTo.Store(id, d.Name)
		all.Go(func() {
			s.Log("request %s is sent to %s", id, d.Name)
			a := rig.Do(d.Front, "GET", "/check/x", "h.example", id, nil, deadline)
			s.Log("request %s is answered %d, error %v", id, a.Status, a.Err)
			mu.Lock()
			statuses[a.Status]++
			mu.Unlock()
		})
		time.Sleep(time.Second / rate)
	}
	all.Wait()
	worst := time.Duration(0)
	for _, after := range late {
		worst = max(worst, after)
	}
	fmt.Printf("%d arrivals, answers %v; %d requests reached a server later than %v after it had left, from daemons that nothing had disturbed; the latest after %v\n",
		arrived, statuses, len(late), drainTime, worst.Round(time.Millisecond))
	s.Log("%d arrivals, answers %v, %d too late, the latest after %v", arrived, statuses, len(late), worst)
	if arrived == 0 {
		return 2
	}
	if len(late) > 0 {
		return 1
	}
	return 0
}
