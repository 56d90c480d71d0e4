package measure

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/client"
	"github.com/hibiscuswick/hibiscuswick/internal/site"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/settings"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	startTimeout = 30 * time.Second
	pollInterval = 10 * time.Millisecond
	memberAlive  = "alive"
)

// errNotServing is returned if the daemons are not ready in time.
var errNotServing = errors.New("daemons are not serving")

// cluster is a running site that serves one service.
type cluster struct {
	site   *site.Site
	adjust func(*settings.Settings)
}

// startCluster starts engines and daemons and waits until all daemons serve. The daemons
// write to log, or nowhere if it is nil.
func startCluster(ctx context.Context, log *telemetry.Log, l Layout, daemons int, change func(*settings.Settings)) (*cluster, error) {
	if log == nil {
		log = telemetry.Discard()
	}
	s, err := site.New(log)
	if err != nil {
		return nil, err
	}
	f := &cluster{site: s, adjust: change}
	if err := f.start(ctx, l, daemons); err != nil {
		s.Close()
		return nil, err
	}
	return f, nil
}

func (f *cluster) start(ctx context.Context, l Layout, daemons int) error {
	if err := l.startEngines(f.site); err != nil {
		return err
	}
	for range daemons {
		if _, err := f.site.AddDaemon(f.adjust); err != nil {
			return err
		}
	}
	doc := document(l)
	res := f.site.Daemons[0].Apply(ctx, caller.Edit{EditID: "measure", Text: doc.Encode()})
	if res.Status != caller.EditAccepted {
		return fmt.Errorf("document was not accepted: %s %v", res.Status, res.Faults)
	}
	return f.awaitServing(ctx)
}

// awaitServing waits until every live daemon has the document and sees all others
// alive.
func (f *cluster) awaitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	live := f.site.Live()
	for _, d := range live {
		for {
			s := d.DaemonStatus(ctx)
			if len(s.Documents) == 1 && !s.Isolated && aliveMembers(s) == len(live) {
				break
			}
			if sleepUntil(ctx, time.Now().Add(pollInterval)) != nil {
				return errNotServing
			}
		}
	}
	return nil
}

func aliveMembers(s caller.DaemonStatus) int {
	return lo.CountBy(s.Members, func(m caller.MemberStatus) bool { return m.State == memberAlive })
}

// urls returns the base URLs of the live daemons.
func (f *cluster) urls() []string {
	var out []string
	for _, d := range f.site.Live() {
		out = append(out, "http://"+d.CallerAddress())
	}
	return out
}

// callers returns one client for each customer. With refusals below 0 the clients do
// not retry a refusal, as an open load requires.
func (f *cluster) callers(refusals int) []*client.Client {
	out := make([]*client.Client, customerCount)
	for i := range out {
		cfg := f.callerConfig(i)
		cfg.MaxRefusals = refusals
		out[i] = client.New(cfg)
	}
	return out
}

// caller returns a client of one customer that uses the given HTTP client.
func (f *cluster) caller(number int, http *http.Client) *client.Client {
	cfg := f.callerConfig(number)
	cfg.HTTP = http
	return client.New(cfg)
}

func (f *cluster) callerConfig(number int) client.Config {
	return client.Config{
		Seeds:    f.urls(),
		Service:  drafts,
		Customer: customer(number),
		Domain:   site.Domains[number%len(site.Domains)],
	}
}

func sleepUntil(ctx context.Context, at time.Time) error {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
