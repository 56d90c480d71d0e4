package compare

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/coordination/route"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// latency is the one-way latency between two daemons.
const latency = 300 * time.Microsecond

// Fleet is a set of daemons, each with a Router and a Home, over shared engines.
type Fleet struct {
	Daemons []*Daemon
	Engines map[state.ReplicaID]*Engine

	// Drop, if set, reports which messages are lost.
	Drop func(from, to state.DaemonID, msg home.Message) bool

	// Affinity makes requests carry their prefix.
	Affinity bool

	// Messages and Bytes count the messages between daemons and their msgpack size.
	// Bytes is counted only with CountBytes.
	Messages   int
	Bytes      int
	CountBytes bool

	loop *Loop
}

// Daemon is one daemon process.
type Daemon struct {
	Member          state.Member
	Router          *route.Router
	Home            *home.Home
	Dead            bool
	Draining        bool
	GrantsRecovered []home.GrantsRecovered

	// Retry repeats a job whose engine failed.
	Retry bool

	fleet    *Fleet
	jobs     map[home.SlotRequestID]*Job // jobs that have not ended
	nextWake time.Time
}

// NewFleet returns n daemons that all know each other, the document and the replicas.
func NewFleet(loop *Loop, n int, hc home.Config, rc route.Config, doc *service.Document, specs []state.Replica, seed uint64) *Fleet {
	f := &Fleet{loop: loop, Engines: make(map[state.ReplicaID]*Engine)}
	for _, s := range specs {
		f.Engines[s.ID] = NewEngine(loop, s)
	}
	for i := range n {
		rc.Self = state.Member{ID: state.DaemonID(fmt.Sprintf("entry-%d", i)), Incarnation: 1}
		f.Daemons = append(f.Daemons, &Daemon{
			Member: rc.Self,
			Router: route.New(rc, rand.New(rand.NewPCG(seed, uint64(i)))),
			Home:   home.New(hc),
			fleet:  f,
			jobs:   make(map[home.SlotRequestID]*Job),
		})
	}
	for _, d := range f.Daemons {
		d.view(f.Peers())
		d.stepHome(home.DocumentChanged{Document: doc})
	}
	f.SetReplicas(doc, specs)
	return f
}

// SetReplicas notifies every daemon of the service's replicas.
func (f *Fleet) SetReplicas(doc *service.Document, specs []state.Replica) {
	for _, d := range f.Daemons {
		d.stepRouter(route.ReplicasChanged{Service: doc.Service, Capacity: doc.Capacity.Replicas, Replicas: specs})
	}
}

// Peers returns the live daemons.
func (f *Fleet) Peers() []route.Peer {
	var live []route.Peer
	for _, d := range f.Daemons {
		if !d.Dead {
			live = append(live, route.Peer{Member: d.Member, Draining: d.Draining})
		}
	}
	return live
}

// Kill stops a daemon. Its jobs on engines go on until they end, and the other daemons
// learn of its death after detect.
func (f *Fleet) Kill(d *Daemon, detect time.Duration) {
	d.Dead = true
	f.loop.After(detect, f.SyncViews)
}

// SyncViews gives all daemons the accurate membership view.
func (f *Fleet) SyncViews() {
	for _, o := range f.Daemons {
		o.SetView(f.Peers())
	}
}

// SetView sets the daemon's membership view.
func (d *Daemon) SetView(live []route.Peer) {
	if !d.Dead {
		d.view(live)
	}
}

func (d *Daemon) view(live []route.Peer) {
	members := make([]state.Member, len(live))
	for i, p := range live {
		members[i] = p.Member
	}
	d.stepHome(home.ViewChanged{Live: members})
	d.stepRouter(route.ViewChanged{Live: live})
}

// NotifyLeaving notifies the daemon that a replica is leaving.
func (d *Daemon) NotifyLeaving(id state.ReplicaID) {
	d.stepHome(home.ReplicaLeaving{Replica: id})
	d.stepRouter(route.ReplicaLeaving{Replica: id})
}

// CacheEvents passes an engine's cache events to the daemon's home.
func (d *Daemon) CacheEvents(e home.CacheReported) {
	d.stepHome(e)
}

// Submit submits a job at this daemon.
func (d *Daemon) Submit(j *Job) {
	d.jobs[j.ID] = j
	d.acquire(j, nil)
}

func (d *Daemon) acquire(j *Job, exclude []state.ReplicaID) {
	w := route.AcquireSlot{
		ID: j.ID, Service: "drafting", Class: classNames[j.Class], Customer: j.Customer,
		Deadline: j.Deadline, FirstTokenLatency: j.Prefill, Cost: uint32(j.Tokens), Exclude: exclude,
	}
	if j.Prefix != 0 && d.fleet.Affinity {
		w.Prefixes = []uint64{j.Prefix}
	}
	d.stepRouter(w)
}

func (d *Daemon) stepHome(ev home.Event) {
	if d.Dead {
		return
	}
	actions := append([]home.Action(nil), d.Home.Step(d.fleet.loop.Now(), ev)...)
	for _, a := range actions {
		switch a := a.(type) {
		case home.Send:
			d.fleet.send(d, a.To, a.Msg)
		case home.GrantsRecovered:
			d.GrantsRecovered = append(d.GrantsRecovered, a)
		}
	}
	d.schedule()
}

func (d *Daemon) stepRouter(ev route.Event) {
	if d.Dead {
		return
	}
	actions := append([]route.Action(nil), d.Router.Step(d.fleet.loop.Now(), ev)...)
	for _, a := range actions {
		switch a := a.(type) {
		case route.Send:
			d.fleet.send(d, a.To, a.Msg)
		case route.PoolsAssigned:
			d.stepHome(home.PoolsAssigned{Pools: a.Pools})
		case route.Granted:
			d.start(a)
		case route.Refused:
			d.jobRefused(a)
		}
	}
	d.schedule()
}

func (d *Daemon) start(a route.Granted) {
	j := d.jobs[a.ID]
	engine := d.fleet.Engines[a.Replica]
	report := j.Ended
	j.Ended = func(j *Job) {
		j.Ended = report
		d.jobEnded(j, engine)
	}
	engine.Start(j)
}

// jobEnded releases the slot and ends the job, or retries it on another replica.
func (d *Daemon) jobEnded(j *Job, e *Engine) {
	if d.Dead {
		return
	}
	if !j.Done.IsZero() {
		d.stepRouter(route.ReleaseSlot{ID: j.ID, Outcome: home.OutcomeServed, Tokens: uint32(j.Tokens), DecodeTime: j.Done.Sub(j.First)})
		delete(d.jobs, j.ID)
		j.Ended(j)
		return
	}
	d.stepRouter(route.ReleaseSlot{ID: j.ID, Outcome: home.OutcomeFailed})
	delete(d.jobs, j.ID)
	if !d.Retry {
		j.Refused = state.ReasonBackendFailed
		j.Ended(j)
		return
	}
	j.ID.Attempt++
	d.jobs[j.ID] = j
	d.acquire(j, []state.ReplicaID{e.Spec.ID})
}

func (d *Daemon) jobRefused(a route.Refused) {
	j := d.jobs[a.ID]
	delete(d.jobs, a.ID)
	j.Refused = a.Reason
	j.Ended(j)
}

// schedule sends a Tick to both state machines when the earlier of them needs one.
func (d *Daemon) schedule() {
	now := d.fleet.loop.Now()
	next := d.Router.NextTick()
	if h := d.Home.NextTick(now); !h.IsZero() && (next.IsZero() || h.Before(next)) {
		next = h
	}
	if next.IsZero() || !d.nextWake.IsZero() && d.nextWake.After(now) && !next.Before(d.nextWake) {
		return
	}
	d.nextWake = next
	d.fleet.loop.After(max(next.Sub(now), time.Microsecond), func() {
		if d.Dead || d.nextWake != next {
			return
		}
		d.nextWake = time.Time{}
		d.stepHome(home.Tick{})
		d.stepRouter(route.Tick{})
	})
}

// send delivers msg after the latency, unless it is dropped.
func (f *Fleet) send(from *Daemon, to state.DaemonID, msg home.Message) {
	delay := latency
	if from.Member.ID == to {
		delay = 0
	} else {
		f.count(msg)
	}
	if f.Drop != nil && f.Drop(from.Member.ID, to, msg) {
		return
	}
	f.loop.After(delay, func() {
		for _, d := range f.Daemons {
			if d.Member.ID == to {
				d.receive(from.Member, msg)
			}
		}
	})
}

func (f *Fleet) count(msg home.Message) {
	f.Messages++
	if !f.CountBytes {
		return
	}
	b, err := msgpack.Marshal(msg)
	if err != nil {
		panic(err)
	}
	f.Bytes += len(b)
}

func (d *Daemon) receive(from state.Member, msg home.Message) {
	switch msg.(type) {
	case home.SlotGrant, home.SlotRefusal, home.NotHome, home.ReportQuery:
		d.stepRouter(route.Received{From: from, Msg: msg})
	default:
		d.stepHome(home.Received{From: from, Msg: msg})
	}
}
