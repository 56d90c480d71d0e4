// Command cut shows what callers get of answers without a length whose server crashes.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/review/second/rig"
)

const (
	rate       = 237.6 // requests per second of the sheet, all kinds together
	plainShare = (18.3 + 7.29) / rate
	crashesAt  = 14 * time.Second
	crashEvery = 6 * time.Second
	downFor    = 4500 * time.Millisecond // for_s of the site file
	lapse      = 3600 * time.Millisecond // three heartbeats, after which the entry of a silent server is removed
	playTime   = 64 * time.Second
	engines    = 8 // one of eight is within the share of 0.14 of the site file
	plains     = 3
	events     = 71
	eventPause = 12 * time.Millisecond
	plainBytes = 800
)

// serve answers a request without stating a length: the answer ends with its connection.
func serve(r *rig.Request) bool {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", rig.HeaderID, r.ID, rig.HeaderStamp, r.Server.ID)
	fmt.Println("server", r.Server.ID, "runs", r.ID)
	if r.Method == "GET" {
		time.Sleep(15 * time.Millisecond)
		_, _ = io.WriteString(r.Conn, head+"\r\n"+strings.Repeat("x", plainBytes))
		return false
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if _, err := io.WriteString(r.Conn, head+"Content-Type: text/event-stream\r\n\r\n"); err != nil {
		return false
	}
	for n := last + 1; n <= events; n++ {
		if _, err := fmt.Fprintf(r.Conn, "id: %d\ndata: %s %d\n\n", n, r.ID, n); err != nil {
			return false
		}
		time.Sleep(eventPause)
	}
	return false
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		os.Exit(rig.RunServer(serve, `,"Layers":{"From":0,"Target":80},"Kind":"card"`))
	}
	os.Exit(play())
}

// result counts answers.
type result struct {
	mu                        sync.Mutex
	whole, cutShown, cutQuiet int
	other                     map[int]int
}

func play() int {
	trouble := os.Getenv("TROUBLE") != "0"
	s, err := rig.NewSite(filepath.Join(os.Getenv("CASE"), "record.txt"))
	if err != nil {
		return rig.CannotRun(err)
	}
	defer s.Close()
	s.Config(1, "", rig.Route{Prefix: "/chat/", Kind: "stream", Service: "model", TimeoutMs: 20000, Attempts: 2, Extra: `,"Gap` + `TargetMs":200,"Resumable":true`},
		rig.Route{Prefix: "/check/", Kind: "idempotent", Service: "app", TimeoutMs: 1000, Attempts: 2})
	var servers []*rig.ServerProcess
	defer func() {
		for _, p := range servers {
			p.Kill()
		}
	}()
	start := func(i, life int) (*rig.ServerProcess, error) {
		p, err := rig.StartServerProcess(fmt.Sprintf("i-%d-%d", i, life), fmt.Sprintf("%s%d:0", s.Net, 100+i), func(line string) { s.Log("%s", line) })
		if err != nil {
			return nil, err
		}
		if i < engines {
			s.ListProcess(p, "model", 192, `,"Kind":"card","Layers":{"From":0,"Target":80}`)
		} else {
			s.ListProcess(p, "app", 6, "")
		}
		return p, nil
	}
	for i := range engines + plains {
		p, err := start(i, 0)
		if err != nil {
			return rig.CannotRun(err)
		}
		servers = append(servers, p)
	}
	fronts, err := s.StartDaemons("a", "b")
	if err != nil {
		return rig.CannotRun(err)
	}
	began := time.Now()
	over := func() bool { return time.Since(began) > playTime }
	res := &result{other: map[int]int{}}
	var all sync.WaitGroup
	if trouble {
		all.Go(func() {
			time.Sleep(crashesAt)
			for life := 1; !over(); life++ {
				i := rand.IntN(engines)
				ended := servers[i].ID
				servers[i].Kill()
				s.Log("server %s has crashed", ended)
				time.AfterFunc(lapse, func() { s.Store.Drop("servers", ended) })
				time.Sleep(downFor)
				if servers[i], err = start(i, life); err != nil {
					return
				}
				time.Sleep(crashEvery - downFor)
			}
		})
	}
	next := time.Now()
	for n := 0; !over(); n++ {
		time.Sleep(time.Until(next))
		next = next.Add(time.Second * 10 / (rate * 10))
		d := fronts[rand.IntN(len(fronts))]
		id := fmt.Sprintf("%08x%08x", rand.Uint32(), n)
		all.Go(func() { ask(s, d, id, res) })
	}
	all.Wait()
	fmt.Printf("%d answers were whole, %d ended early and showed it, %d ended early and looked complete; other answers %v\n", res.whole, res.cutShown, res.cutQuiet, res.other)
	s.Log("%d whole, %d cut and shown so, %d cut and passed as complete, other %v", res.whole, res.cutShown, res.cutQuiet, res.other)
	if res.whole == 0 {
		return 2
	}
	if res.cutQuiet > 0 {
		return 1
	}
	return 0
}

// ask sends one request and checks its answer.
func ask(s *rig.Site, d *rig.Daemon, id string, res *result) {
	var a rig.Answer
	var whole bool
	s.Log("request %s is sent to %s", id, d.Name)
	if rand.Float64() < plainShare {
		a = rig.Do(d.Front, "GET", "/check/x", "h.example", id, nil, time.Second)
		whole = len(a.Body) == plainBytes
	} else {
		a = rig.Do(d.Front, "POST", "/chat/x", "h.example", id, []byte(id), 20*time.Second, rig.HeaderTokens+": 760,154", fmt.Sprintf("%s: %x:760", rig.HeaderPrefix, rand.Uint32()))
		whole = strings.HasSuffix(string(a.Body), fmt.Sprintf("data: %s %d\n\n", id, events))
	}
	s.Log("request %s is answered %d, %d bytes, whole %v, error %v", id, a.Status, len(a.Body), whole, a.Err)
	res.mu.Lock()
	defer res.mu.Unlock()
	switch {
	case a.Status != 200:
		res.other[a.Status]++
	case whole:
		res.whole++
	case a.Err != nil:
		res.cutShown++
	default:
		res.cutQuiet++
		s.Log("MIXED broken: the answer to %s, stamp %s, ends as complete after %d bytes: ...%q", id, a.Header.Get(rig.HeaderStamp), len(a.Body), tail(a.Body))
	}
}

func tail(b []byte) string { return string(b[max(0, len(b)-40):]) }
