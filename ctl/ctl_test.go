package ctl_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/ctl"
	"github.com/hibiscuswick/hibiscuswick/ctl/ctltest"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

const testTimeout = 10 * time.Second

func alerts() service.Document {
	text, err := os.ReadFile(filepath.Join("..", "examples", "alerts.json"))
	Expect(err).NotTo(HaveOccurred())
	d, faults := service.Decode(text)
	Expect(faults).To(BeEmpty())
	return d
}

func edit(base state.DocumentVersion, id string) caller.Edit {
	d := alerts()
	return caller.Edit{Base: base, EditID: id, Text: d.Encode()}
}

var _ = Describe("Client", func() {
	var cluster *ctltest.Cluster
	var ctx context.Context

	client := func(servers ...string) *ctl.Client {
		c, err := ctl.NewClient(servers, 2*time.Second)
		Expect(err).NotTo(HaveOccurred())
		return c
	}
	// brief returns a context with a short timeout, for waits that can't succeed.
	brief := func() context.Context {
		short, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		DeferCleanup(cancel)
		return short
	}

	BeforeEach(func() {
		cluster = ctltest.New("a", "b", "c")
		DeferCleanup(cluster.Close)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), testTimeout)
		DeferCleanup(cancel)
	})

	// The store commits an edit, its response is lost and the daemon reports an unknown
	// outcome. Retrying under a new edit ID would conflict with the committed edit.
	It("resolves an edit with a lost response by repeating its edit ID", Label("failure:store-answer-lost"), func() {
		cluster.Change("a", func(d *ctltest.Daemon) { d.LoseAnswers = 1 })
		cluster.Change("b", func(d *ctltest.Daemon) { d.LoseAnswers = 1 })
		r := client(cluster.URL("a"), cluster.URL("b")).Apply(ctx, "alerts", edit(0, "e1"))
		Expect(r.Status).To(Equal(caller.EditAccepted))
		Expect(r.Version).To(Equal(state.DocumentVersion(1)))
		Expect(r.Unanswered).To(Equal(2))
		Expect(cluster.Committed("alerts").Version).To(Equal(state.DocumentVersion(1)))
	})

	// The store commits an edit and its response is lost. The retry reaches a daemon
	// that compares only versions and reports the operator's own edit as a conflict.
	It("recognizes its own edit in a conflict", Label("failure:store-answer-lost"), func() {
		cluster.Change("a", func(d *ctltest.Daemon) { d.LoseAnswers = 1 })
		cluster.Change("b", func(d *ctltest.Daemon) { d.IgnoresEditIDs = true })
		r := client(cluster.URL("a"), cluster.URL("b")).Apply(ctx, "alerts", edit(0, "e1"))
		Expect(r.Status).To(Equal(caller.EditAccepted))
		Expect(r.Version).To(Equal(state.DocumentVersion(1)))
	})

	// The connection to a daemon accepts the request but never returns a response. The
	// call must time out, and the edit must be retried at the next server.
	It("continues at the next server when a connection is unresponsive", Label("failure:silent-connection"), func() {
		release := make(chan struct{})
		unresponsive := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
		DeferCleanup(unresponsive.Close)
		DeferCleanup(func() { close(release) })
		c, err := ctl.NewClient([]string{unresponsive.URL, cluster.URL("b")}, 100*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		r := c.Apply(ctx, "alerts", edit(0, "e1"))
		Expect(r.Status).To(Equal(caller.EditAccepted))
		Expect(r.Unanswered).To(Equal(1))
	})

	It("reports that nothing was changed only if no server was reachable", func() {
		cluster.Stop("a")
		r := client(cluster.URL("a")).Apply(brief(), "alerts", edit(0, "e1"))
		Expect(r.Status).To(Equal(caller.EditUnknown))
		Expect(r.Unreachable).To(BeTrue())

		cluster.Change("b", func(d *ctltest.Daemon) { d.LoseAnswers = 1000 })
		r = client(cluster.URL("b")).Apply(brief(), "alerts", edit(0, "e1"))
		Expect(r.Status).To(Equal(caller.EditUnknown))
		Expect(r.Unreachable).To(BeFalse())
	})

	// Two operators edit version 1 concurrently. The second gets the version that was
	// committed first and how it differs.
	It("returns the committed version and its differences on a conflict", Label("failure:concurrent-edits"), func() {
		theirs := alerts()
		theirs.Capacity.Replicas = 2
		theirs.Customers = theirs.Customers[:2]
		cluster.Commit(service.Versioned{Version: 2, EditID: "theirs", Document: theirs})
		r := client(cluster.URL("a")).Apply(ctx, "alerts", edit(1, "mine"))
		Expect(r.Status).To(Equal(caller.EditConflict))
		Expect(r.Current.EditID).To(Equal("theirs"))
		Expect(ctl.Differences(alerts(), r.Current.Document)).To(ConsistOf(
			ctl.Difference{Path: "capacity.replicas", Submitted: "3", Existing: "2"},
			HaveField("Path", "customers[2]"),
		))
	})

	Describe("WaitActive", func() {
		BeforeEach(func() {
			cluster.Commit(service.Versioned{Version: 1, EditID: "e1", Document: alerts()})
		})

		It("returns the lagging daemons, and ends once they have the version", func() {
			cluster.Change("c", func(d *ctltest.Daemon) { d.Lagging = true })
			cluster.Commit(service.Versioned{Version: 2, EditID: "e2", Document: alerts()})
			c := client(cluster.URL("a"))
			Expect(c.WaitActive(brief(), "alerts", 2)).To(Equal([]ctl.Lag{{Daemon: "c", Version: 1}}))
			done := make(chan []ctl.Lag)
			go func() { done <- c.WaitActive(ctx, "alerts", 2) }()
			cluster.Change("c", func(d *ctltest.Daemon) { d.Lagging = false })
			Eventually(done).WithTimeout(testTimeout).Should(Receive(BeEmpty()))
		})

		It("ignores dead daemons, but not unreachable live ones", func() {
			cluster.Stop("c")
			lags := client(cluster.URL("a")).WaitActive(brief(), "alerts", 1)
			Expect(lags).To(ConsistOf(HaveField("Daemon", state.DaemonID("c"))))
			cluster.Change("c", func(d *ctltest.Daemon) { d.Dead = true })
			Expect(client(cluster.URL("a")).WaitActive(ctx, "alerts", 1)).To(BeEmpty())
		})

		It("uses the version reported by a server for a daemon without a known address", func() {
			cluster.Change("c", func(d *ctltest.Daemon) { d.NoAddress, d.Lagging = true, true })
			cluster.Commit(service.Versioned{Version: 2, EditID: "e2", Document: alerts()})
			Expect(client(cluster.URL("a")).WaitActive(brief(), "alerts", 2)).To(Equal([]ctl.Lag{{Daemon: "c", Version: 1}}))
		})

		// A partitioned daemon sees all others as dead. With a second server that sees
		// a lagging daemon alive, the wait must count that daemon.
		It("counts a daemon that only one server sees alive", Label("failure:isolated-daemon"), func() {
			cluster.Change("a", func(d *ctltest.Daemon) { d.Partitioned = true })
			cluster.Change("c", func(d *ctltest.Daemon) { d.Lagging = true })
			cluster.Commit(service.Versioned{Version: 2, EditID: "e2", Document: alerts()})
			lags := client(cluster.URL("a"), cluster.URL("b")).WaitActive(brief(), "alerts", 2)
			Expect(lags).To(Equal([]ctl.Lag{{Daemon: "a", Version: 1}, {Daemon: "c", Version: 1}}))
		})

		// Guards against a report that knows no version, since the time ended as a daemon was asked again.
		It("returns the version that a daemon told before the time ended", Label("failure:lag-unknown-at-end"), func() {
			var asked atomic.Int32
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if asked.Add(1) > 1 {
					<-r.Context().Done()
					return
				}
				w.Header().Set("Content-Type", "application/json")
				_ = json.NewEncoder(w).Encode(caller.DaemonStatus{ID: "c", Documents: map[state.ServiceID]state.DocumentVersion{"alerts": 1}})
			}))
			DeferCleanup(s.Close)
			short, cancel := context.WithTimeout(ctx, time.Second)
			DeferCleanup(cancel)
			Expect(client(s.URL).WaitActive(short, "alerts", 2)).To(Equal([]ctl.Lag{{Daemon: "c", Version: 1}}))
			Expect(asked.Load()).To(BeNumerically(">", 1))
		})

		It("does not end while no server responds", func() {
			cluster.Stop("a")
			short := brief()
			lags := client(cluster.URL("a")).WaitActive(short, "alerts", 1)
			Expect(lags).To(ConsistOf(HaveField("Daemon", state.DaemonID(cluster.URL("a")))))
			Expect(short.Err()).To(HaveOccurred())
		})
	})

	It("waits until a drained daemon has stopped", func() {
		cluster.Change("a", func(d *ctltest.Daemon) { d.Active = 2 })
		c := client(cluster.URL("a"))
		Expect(c.Drain(ctx)).To(Succeed())
		Expect(cluster.Draining("a")).To(BeTrue())
		active := make(chan int, 10)
		done := make(chan error)
		go func() { done <- c.WaitStopped(ctx, func(n int) { active <- n }) }()
		Eventually(active).WithTimeout(testTimeout).Should(Receive(Equal(2)))
		cluster.Stop("a")
		Eventually(done).WithTimeout(testTimeout).Should(Receive(BeNil()))
	})
})
