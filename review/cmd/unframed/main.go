// Command unframed kills backend servers while they give answers that end with their connection.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/review/rig"
)

const (
	rounds      = 5
	perService  = 6  // servers, of which one crashes: a share of 0.167
	requests    = 12 // of each kind in a round
	plainPieces = 8
	events      = 80
	pace        = 25 * time.Millisecond
)

// server is a process of cmd/server.
type server struct {
	cmd     *exec.Cmd
	id      string
	address string
}

var errNoAddress = fmt.Errorf("the server prints no address")

func start(site *rig.Site, rec *rig.Record, id, service, zone string, eventCount int) (*server, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(filepath.Dir(self), "server"), "-id", id, "-service", service, "-zone", zone,
		"-events", fmt.Sprint(eventCount), "-pace", pace.String(), "-pieces", fmt.Sprint(plainPieces))
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := site.Helper(cmd); err != nil {
		return nil, err
	}
	s := &server{cmd: cmd, id: id}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return s, errNoAddress
	}
	s.address = lines.Text()
	go func() {
		for lines.Scan() {
			rec.Add("%s: %s", id, lines.Text())
		}
	}()
	p := rig.Replica{ID: id, Service: service, Zone: zone, Slots: 192, Address: s.address}
	if eventCount > 0 {
		p.Events = func(string) int { return eventCount }
	}
	site.Store.Put("servers", id, p.Entry("ready"))
	return s, nil
}

func (s *server) kill() { _ = s.cmd.Process.Kill() }

func main() { rig.Main(run) }

func run(site *rig.Site, trouble bool) (int, error) {
	rec := site.Rec
	site.Store.Put("op", "config", rig.Config(7, []rig.Route{
		{Host: "site.example", Prefix: "/pod/", Kind: "stream", Service: "draft-model", TimeoutMs: 20000, TargetMs: 500, GapMs: 200, Attempts: 2, Resumable: true},
		{Host: "site.example", Prefix: "/doorstep/", Kind: "non_idempotent", Service: "counter-app", TimeoutMs: 1000, TargetMs: 100, Attempts: 1},
	}, []string{"counter-app"}, []string{"draft-model"}))
	for _, zone := range []string{"ernakulam", "kottayam", "alappuzha"} {
		if _, err := site.AddDaemon(zone); err != nil {
			return 0, err
		}
	}
	if err := site.AwaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	broken := 0
	client := &rig.Client{Site: site, Zone: "ernakulam"}
	for round := range rounds {
		var fresh []*server
		for _, kind := range []string{"app", "draft"} {
			for i := range perService {
				service, n := "counter-app", 0
				if kind == "draft" {
					service, n = "draft-model", events
				}
				s, err := start(site, rec, fmt.Sprintf("i-%s-%d-%d", kind, round, i), service, "ernakulam", n)
				if err != nil {
					return 0, err
				}
				fresh = append(fresh, s)
			}
		}
		time.Sleep(1500 * time.Millisecond)
		var calls sync.WaitGroup
		replies := map[string]rig.Reply{}
		var mu sync.Mutex
		send := func(q rig.Request) {
			calls.Go(func() {
				r := client.Do(q)
				mu.Lock()
				replies[q.ID] = r
				mu.Unlock()
			})
		}
		for i := range requests {
			send(rig.Request{ID: fmt.Sprintf("pod-%d-%d", round, i), Host: "site.example", Path: "/pod/x", Method: "POST", Body: []byte(fmt.Sprint("prompt ", round, i)), DeadlineMs: 20000, Stream: true})
		}
		time.Sleep(time.Second)
		for i := range requests {
			send(rig.Request{ID: fmt.Sprintf("door-%d-%d", round, i), Host: "site.example", Path: "/doorstep/x", Method: "POST", Body: []byte(fmt.Sprint("check ", round, i)), DeadlineMs: 1000})
		}
		time.Sleep(plainPieces * pace / 2)
		if trouble { // the first server of each service crashes
			for _, s := range []*server{fresh[0], fresh[perService]} {
				s.kill()
				rec.Add("%s is killed", s.id)
				site.Store.Remove("servers", s.id)
			}
		}
		calls.Wait()
		for id, r := range replies {
			broken += judge(rec, id, r)
		}
		for _, s := range fresh {
			site.Store.Remove("servers", s.id)
			s.kill()
		}
	}
	rec.Say("%d answers were cut off and looked complete", broken)
	if broken > 0 {
		return rig.Broken, nil
	}
	return rig.Held, nil
}

// judge reports whether a success that looks complete isn't the whole answer.
func judge(rec *rig.Record, id string, r rig.Reply) int {
	whole := ""
	if strings.HasPrefix(id, "pod") {
		for i := range events {
			whole += fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i+1, i+1, id)
		}
	} else {
		for i := range plainPieces {
			whole += rig.Piece(id, i+1, plainPieces)
		}
	}
	same := string(r.Body) == whole
	rec.Add("%s: status %d stamp %q complete=%v %d of %d bytes, the whole answer=%v %v", id, r.Status, r.Stamp, r.Complete, len(r.Body), len(whole), same, r.Err)
	if r.Status != 200 || !r.Complete || same {
		return 0
	}
	rec.Say("CUT %s: status 200 with stamp %s, ended as complete with %d of %d bytes", id, r.Stamp, len(r.Body), len(whole))
	return 1
}
