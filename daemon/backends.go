package daemon

import (
	"sync"

	"github.com/hibiscuswick/hibiscuswick/protocol/engine"
	"github.com/hibiscuswick/hibiscuswick/transport/enginehttp"
)

// backends keeps one client for each backend server address. It may be used by
// many goroutines.
type backends struct {
	opts enginehttp.Options

	mu      sync.Mutex
	engines map[string]*engineClient
	plains  map[string]engine.Plain
}

// engineClient is one engine's client with the batcher of its steps.
type engineClient struct {
	engine.Engine
	steps *enginehttp.Batcher
}

func newBackends(opts enginehttp.Options) *backends {
	return &backends{
		opts:    opts,
		engines: make(map[string]*engineClient),
		plains:  make(map[string]engine.Plain),
	}
}

func (b *backends) engine(address string) *engineClient {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, ok := b.engines[address]
	if !ok {
		e := enginehttp.New(address, b.opts)
		c = &engineClient{Engine: e, steps: enginehttp.NewBatcher(e, enginehttp.BatcherOptions{})}
		b.engines[address] = c
	}
	return c
}

func (b *backends) plain(address string) engine.Plain {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, ok := b.plains[address]
	if !ok {
		c = enginehttp.NewPlain(address, b.opts)
		b.plains[address] = c
	}
	return c
}
