// Command server is one backend server as a process of its own. Its answers have neither a length nor
// chunks: they end with their connection. It prints its address, and a line for each step of a request.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/hibiscuswick/hibiscuswick/review/rig"
)

func main() {
	id, service, zone := flag.String("id", "", "id"), flag.String("service", "", "service"), flag.String("zone", "", "zone")
	events := flag.Int("events", 0, "events of a stream; 0 for a plain server")
	pace := flag.Duration("pace", 20*time.Millisecond, "time between two pieces of an answer")
	pieces := flag.Int("pieces", 8, "pieces of a plain answer")
	flag.Parse()
	p := &rig.Replica{ID: *id, Service: *service, Zone: *zone, Slots: 192, Pace: *pace, Work: func(string) time.Duration { return 0 }}
	if *events > 0 {
		p.Events = func(string) int { return *events }
	}
	p.Handler = func(w http.ResponseWriter, r *http.Request, _ []byte) bool {
		request := rig.RequestID(r)
		fmt.Println("began", request)
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return false
		}
		defer func() { _ = c.Close() }()
		out := bufio.NewWriter(c)
		rig.WriteUnframedHead(out, request, *id, *events > 0)
		n := max(*pieces, *events)
		for i := rig.LastEvent(r) + 1; i <= n; i++ {
			if *events > 0 {
				_, _ = fmt.Fprintf(out, "id: %d\ndata: piece %d of %s\n\n", i, i, request)
			} else {
				_, _ = out.WriteString(rig.Piece(request, i, n))
			}
			if out.Flush() != nil {
				fmt.Println("left", request)
				return true
			}
			fmt.Println("piece", request, i)
			time.Sleep(*pace)
		}
		fmt.Println("ended", request)
		return true
	}
	if err := p.Start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	fmt.Println(p.Address)
	select {}
}
