package daemon

import (
	"sync"

	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
	"github.com/hibiscuswick/hibiscuswick/transport/enginehttp"
)

// clients holds one client for each backend server address, with the boot ID
// that its process last reported. It is safe for concurrent use.
type clients struct {
	opts enginehttp.Options

	mu      sync.Mutex
	engines map[string]*engineClient
	plains  map[string]engine.Plain
}

// engineClient is the client of one engine with the batcher of its steps.
type engineClient struct {
	engine.Engine
	steps *enginehttp.Batcher

	mu     sync.Mutex
	bootID string // "" if unknown
}

func newClients(opts enginehttp.Options) *clients {
	return &clients{
		opts:    opts,
		engines: make(map[string]*engineClient),
		plains:  make(map[string]engine.Plain),
	}
}

func (c *clients) engine(address string) *engineClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.engines[address]
	if !ok {
		http := enginehttp.New(address, c.opts)
		e = &engineClient{Engine: http, steps: enginehttp.NewBatcher(http, enginehttp.BatcherOptions{})}
		c.engines[address] = e
	}
	return e
}

func (c *clients) plain(address string) engine.Plain {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.plains[address]
	if !ok {
		p = enginehttp.NewPlain(address, c.opts)
		c.plains[address] = p
	}
	return p
}

// setBootID records the boot ID that an answer carried; "" makes the next use
// query it again.
func (e *engineClient) setBootID(bootID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bootID = bootID
}

func (e *engineClient) lastBootID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bootID
}
