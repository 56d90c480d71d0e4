package daemon

import (
	"sync"

	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
	"github.com/hibiscuswick/hibiscuswick/transport/enginehttp"
)

// clients keeps one client for each backend server address, with the life that
// its process was last seen in. It may be used by many goroutines.
type clients struct {
	opts enginehttp.Options

	mu      sync.Mutex
	engines map[string]*engineClient
	plains  map[string]engine.Plain
}

// engineClient is one engine's client with the batcher of its steps.
type engineClient struct {
	engine.Engine
	steps *enginehttp.Batcher

	mu   sync.Mutex
	life string // "" when not known
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

// seen notes the life that an answer came from, "" to look it up anew.
func (e *engineClient) seen(life string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.life = life
}

func (e *engineClient) lastLife() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life
}
