package rig

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// timeLimit is how long a script may run.
const timeLimit = 118 * time.Second

// Main runs a script whose record goes to the file that the first argument names. The script gets
// whether there is to be trouble, and returns Held or Broken, or an error if it can't run. All
// processes of the site have ended when Main exits.
func Main(script func(site *Site, trouble bool) (int, error)) {
	if len(os.Args) != 2 {
		fmt.Println("usage: the path of the record")
		os.Exit(CannotRun)
	}
	rec, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		os.Exit(CannotRun)
	}
	site, err := NewSite(rec)
	if err != nil {
		rec.Say("can't run: %v", err)
		rec.Close()
		os.Exit(CannotRun)
	}
	var once sync.Once
	end := func(code int) {
		once.Do(func() {
			site.Close()
			rec.Close()
			os.Exit(code)
		})
		select {}
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-stopped:
			rec.Say("stopped")
		case <-time.After(timeLimit):
			rec.Say("not done after %v", timeLimit)
		}
		end(CannotRun)
	}()
	code, err := script(site, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.Say("can't run: %v", err)
		code = CannotRun
	}
	end(code)
}
