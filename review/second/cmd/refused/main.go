// Command refused shows what becomes of a request that may run once, when a server fails it with 503
// after it has run it.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/review/second/rig"
)

const (
	servers   = 8
	clients   = 24
	playTime  = 22 * time.Second
	greyFrom  = 6 * time.Second
	greyFor   = 6500 * time.Millisecond // for_s of the site file
	greyShare = 0.45                    // x of the site file; one server of eight is within its share of 0.14
	deadline  = time.Second
	workTime  = 15 * time.Millisecond
)

// ledger holds what servers have run and what callers were answered, by the id of the attempt.
type ledger struct {
	mu     sync.Mutex
	ran    map[string]int
	orders map[string]int // runs by what the caller wanted done, over all its attempts
}

func (l *ledger) run(id, order string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran[id]++
	l.orders[order]++
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
	s.Config(1, "", rig.Route{Prefix: "/sign/", Kind: "non_idempotent", Service: "app", TimeoutMs: 1000, Attempts: 1})
	l := &ledger{ran: map[string]int{}, orders: map[string]int{}}
	began := time.Now()
	for i := range servers {
		id := fmt.Sprintf("i-%d", i)
		_, err := s.AddServer(i, id, "app", func(r *rig.Request) bool {
			l.run(r.ID, string(r.Body))
			time.Sleep(workTime)
			since := time.Since(began) - greyFrom
			if trouble && i == 0 && since > 0 && since < greyFor && rand.Float64() < greyShare {
				s.Log("server %s ran %s (%s) and answers 503, without the mark of a request that has not run", id, r.ID, r.Body)
				return r.Answer(503, "a part of the service is away", rig.HeaderStamp+": "+id)
			}
			s.Log("server %s ran %s (%s) and answers 200", id, r.ID, r.Body)
			return r.Answer(200, "done: "+string(r.Body), rig.HeaderStamp+": "+id)
		})
		if err != nil {
			return rig.CannotRun(err)
		}
	}
	fronts, err := s.StartDaemons("a", "b", "c")
	if err != nil {
		return rig.CannotRun(err)
	}
	began = time.Now()
	var broken, answered, twice int
	var mu sync.Mutex
	var all sync.WaitGroup
	for c := range clients {
		all.Go(func() {
			for n := 0; time.Since(began) < playTime; n++ {
				order := fmt.Sprintf("order-%d-%d", c, n)
				for attempt := range 2 { // the sheet gives callers one retry
					id := fmt.Sprintf("%08x%04x%04x", rand.Uint32(), c, n*2+attempt)
					s.Log("caller of %s sends attempt %s", order, id)
					a := rig.Do(fronts[rand.IntN(len(fronts))].Front, "POST", "/sign/x", "h.example", id, []byte(order), deadline)
					s.Log("caller of %s, attempt %s: status %d, error %v", order, id, a.Status, a.Err)
					mu.Lock()
					answered++
					if refused(a.Status) && l.count(id) > 0 {
						broken++
						s.Log("REFUSED broken: %s was answered %d and has run", id, a.Status)
					}
					mu.Unlock()
					if !refused(a.Status) {
						break
					}
				}
				time.Sleep(time.Duration(400+rand.IntN(200)) * time.Millisecond)
			}
		})
	}
	all.Wait()
	for order, runs := range l.orders {
		if runs > 1 {
			twice++
			s.Log("%s was carried out %d times", order, runs)
		}
	}
	fmt.Printf("%d attempts answered; %d were refused with 429 or 503 (408, 421) and had run; %d orders were carried out more than once\n", answered, broken, twice)
	s.Log("%d attempts answered; %d refused although they had run; %d orders carried out more than once", answered, broken, twice)
	if answered == 0 {
		return 2
	}
	if broken > 0 {
		return 1
	}
	return 0
}

func (l *ledger) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ran[id]
}

// refused reports whether a status promises that the request has not run.
func refused(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}
