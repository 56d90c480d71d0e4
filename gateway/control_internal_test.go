package gateway

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/hibiscuswick/hibiscuswick/internal/freeport"
	"github.com/hibiscuswick/hibiscuswick/protocol/site"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

var errDown = errors.New("store is unavailable")

// downFeed and downTable are a store that does not answer: the tests pass rows in directly.
type downFeed[T any] struct{}

func (downFeed[T]) Read(context.Context) (site.Batch[T], error) { return site.Batch[T]{}, errDown }

func (downFeed[T]) Follow(context.Context, uint64, time.Duration) (site.Batch[T], error) {
	return site.Batch[T]{}, errDown
}

type downTable struct{}

func (downTable) Read(context.Context) (site.Rows, error) { return site.Rows{}, errDown }

func (downTable) Commit(context.Context, site.Change) (uint64, error) { return 0, errDown }

// benchEngine is a model of 80 layers on three accelerator kinds.
func benchEngine() *fleet.Engine {
	return &fleet.Engine{
		Layers: 80, LayerMB: 1750, KVTokens: 100000, TokenKB: 459, StepMS: 1, LoadTime: 14 * time.Second,
		PipeMbps: 11000, ActivateKB: 23,
		Kinds: map[string]fleet.AcceleratorKind{
			"large": {MemoryMB: 72000, Pace: 2.4}, "middle": {MemoryMB: 43000, Pace: 5.6}, "small": {MemoryMB: 22000, Pace: 16},
		},
	}
}

func benchServer(i int) fleet.Server {
	return fleet.Server{
		ID: state.BackendID(fmt.Sprintf("i-%06d", i)), Service: "llm", Address: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250),
		Domain: state.FailureDomain("abc"[i%3 : i%3+1]), Kind: []string{"small", "middle", "small", "large"}[i/3%4], Slots: 192,
	}
}

// newTestControl returns the control state of a daemon whose control goroutine is not
// running.
func newTestControl(t testing.TB) *control {
	address, err := freeport.Address()
	if err != nil {
		t.Fatal(err)
	}
	g, err := New(Settings{ID: "d1", Domain: "a", CallerAddress: "f", PeerAddress: address, BudgetWindow: 10 * time.Second}, Site{
		Configs: downFeed[*fleet.Config]{}, Servers: downFeed[fleet.Server]{}, Members: downTable{}, Leases: downTable{},
	}, nil, telemetry.Discard(), telemetry.NewMetrics())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { g.node.Close() })
	c := g.control
	c.members.rowWritten, c.members.lastSeed, c.members.reading = true, c.now, true
	c.configFeed.applyStoreAnswer(configWith(1, "app"), batchInfo{complete: true})
	return c
}

// configWith returns a configuration with the engines' service and plain services.
func configWith(version uint64, plain ...state.ServiceID) site.Batch[*fleet.Config] {
	services := map[state.ServiceID]fleet.Service{"llm": {ID: "llm", Engine: benchEngine()}}
	for _, id := range plain {
		services[id] = fleet.Service{ID: id}
	}
	return site.Batch[*fleet.Config]{Revision: version, Items: []site.Item[*fleet.Config]{{
		Key: "config", Revision: version, Value: &fleet.Config{Version: version, Services: services},
	}}}
}
