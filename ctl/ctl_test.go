package ctl_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/ctl"
	"github.com/hibiscuswick/hibiscuswick/ctl/ctltest"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

const bound = 10 * time.Second

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
	var fleet *ctltest.Cluster
	var ctx context.Context

	client := func(servers ...string) *ctl.Client {
		c, err := ctl.NewClient(servers, 2*time.Second)
		Expect(err).NotTo(HaveOccurred())
		return c
	}
	// brief ends waits that can't succeed.
	brief := func() context.Context {
		short, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		DeferCleanup(cancel)
		return short
	}

	BeforeEach(func() {
		fleet = ctltest.New("a", "b", "c")
		DeferCleanup(fleet.Close)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), bound)
		DeferCleanup(cancel)
	})

	// An operator applies an edit. The store commits it, the answer is lost, and
	// the daemon says that the outcome is unknown. A second edit in its place
	// would conflict with the operator's own.
	It("settles an edit whose answer was lost by repeating its edit id", Label("failure:store-answer-lost"), func() {
		fleet.Change("a", func(d *ctltest.Daemon) { d.LoseAnswers = 1 })
		fleet.Change("b", func(d *ctltest.Daemon) { d.LoseAnswers = 1 })
		r := client(fleet.URL("a"), fleet.URL("b")).Apply(ctx, "alerts", edit(0, "e1"))
		Expect(r.Status).To(Equal(caller.EditAccepted))
		Expect(r.Version).To(Equal(state.DocumentVersion(1)))
		Expect(r.Unanswered).To(Equal(2))
		Expect(fleet.Committed("alerts").Version).To(Equal(state.DocumentVersion(1)))
	})

	// The store commits an edit and its answer is lost. The repeat reaches a
	// daemon that only compares versions and calls the operator's own edit the
	// one that came first.
	It("knows its own edit in a conflict", Label("failure:store-answer-lost"), func() {
		fleet.Change("a", func(d *ctltest.Daemon) { d.LoseAnswers = 1 })
		fleet.Change("b", func(d *ctltest.Daemon) { d.IgnoresEditIDs = true })
		r := client(fleet.URL("a"), fleet.URL("b")).Apply(ctx, "alerts", edit(0, "e1"))
		Expect(r.Status).To(Equal(caller.EditAccepted))
		Expect(r.Version).To(Equal(state.DocumentVersion(1)))
	})

	// An operator applies an edit through a daemon whose connection takes the
	// bytes and never answers. The call times out, and the next server settles it.
	It("goes on at the next server when a connection is silent", Label("failure:silent-connection"), func() {
		release := make(chan struct{})
		silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
		DeferCleanup(silent.Close)
		DeferCleanup(func() { close(release) })
		c, err := ctl.NewClient([]string{silent.URL, fleet.URL("b")}, 100*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		r := c.Apply(ctx, "alerts", edit(0, "e1"))
		Expect(r.Status).To(Equal(caller.EditAccepted))
		Expect(r.Unanswered).To(Equal(1))
	})

	It("says that nothing was changed only where no server was reached", func() {
		fleet.Stop("a")
		r := client(fleet.URL("a")).Apply(brief(), "alerts", edit(0, "e1"))
		Expect(r.Status).To(Equal(caller.EditUnknown))
		Expect(r.Unreachable).To(BeTrue())

		fleet.Change("b", func(d *ctltest.Daemon) { d.LoseAnswers = 1000 })
		r = client(fleet.URL("b")).Apply(brief(), "alerts", edit(0, "e1"))
		Expect(r.Status).To(Equal(caller.EditUnknown))
		Expect(r.Unreachable).To(BeFalse())
	})

	// Two operators edit version 1 at the same moment. The second is told the
	// version that came first, and where it differs.
	It("tells the edit that lost what came first", Label("failure:concurrent-edits"), func() {
		theirs := alerts()
		theirs.Capacity.Replicas = 2
		theirs.Customers = theirs.Customers[:2]
		fleet.Commit(service.Versioned{Version: 2, EditID: "theirs", Document: theirs})
		r := client(fleet.URL("a")).Apply(ctx, "alerts", edit(1, "mine"))
		Expect(r.Status).To(Equal(caller.EditConflict))
		Expect(r.Current.EditID).To(Equal("theirs"))
		Expect(ctl.Differences(alerts(), r.Current.Document)).To(ConsistOf(
			ctl.Difference{Path: "capacity.replicas", Submitted: "3", Existing: "2"},
			HaveField("Path", "customers[2]"),
		))
	})

	Describe("WaitInForce", func() {
		BeforeEach(func() {
			fleet.Commit(service.Versioned{Version: 1, EditID: "e1", Document: alerts()})
		})

		It("names the daemons that lag, and ends when they follow", func() {
			fleet.Change("c", func(d *ctltest.Daemon) { d.Lagging = true })
			fleet.Commit(service.Versioned{Version: 2, EditID: "e2", Document: alerts()})
			c := client(fleet.URL("a"))
			Expect(c.WaitActive(brief(), "alerts", 2)).To(Equal([]ctl.Lag{{Daemon: "c", Version: 1}}))
			done := make(chan []ctl.Lag)
			go func() { done <- c.WaitActive(ctx, "alerts", 2) }()
			fleet.Change("c", func(d *ctltest.Daemon) { d.Lagging = false })
			Eventually(done).WithTimeout(bound).Should(Receive(BeEmpty()))
		})

		It("leaves out dead daemons, but not live ones that can't be asked", func() {
			fleet.Stop("c")
			lags := client(fleet.URL("a")).WaitActive(brief(), "alerts", 1)
			Expect(lags).To(ConsistOf(HaveField("Daemon", state.DaemonID("c"))))
			fleet.Change("c", func(d *ctltest.Daemon) { d.Dead = true })
			Expect(client(fleet.URL("a")).WaitActive(ctx, "alerts", 1)).To(BeEmpty())
		})

		It("takes a server's word for a daemon that has told no address", func() {
			fleet.Change("c", func(d *ctltest.Daemon) { d.NoAddress, d.Lagging = true, true })
			fleet.Commit(service.Versioned{Version: 2, EditID: "e2", Document: alerts()})
			Expect(client(fleet.URL("a")).WaitActive(brief(), "alerts", 2)).To(Equal([]ctl.Lag{{Daemon: "c", Version: 1}}))
		})

		// A daemon is cut off from the others and sees them as dead. An operator
		// waits through it and through another; the daemon that lags must count
		// although the first server calls it dead.
		It("counts a daemon that only one server sees alive", Label("failure:isolated-daemon"), func() {
			fleet.Change("a", func(d *ctltest.Daemon) { d.Partitioned = true })
			fleet.Change("c", func(d *ctltest.Daemon) { d.Lagging = true })
			fleet.Commit(service.Versioned{Version: 2, EditID: "e2", Document: alerts()})
			lags := client(fleet.URL("a"), fleet.URL("b")).WaitActive(brief(), "alerts", 2)
			Expect(lags).To(Equal([]ctl.Lag{{Daemon: "a", Version: 1}, {Daemon: "c", Version: 1}}))
		})

		It("does not end while no server answers", func() {
			fleet.Stop("a")
			short := brief()
			lags := client(fleet.URL("a")).WaitActive(short, "alerts", 1)
			Expect(lags).To(ConsistOf(HaveField("Daemon", state.DaemonID(fleet.URL("a")))))
			Expect(short.Err()).To(HaveOccurred())
		})
	})

	It("waits for a planned stop to end", func() {
		fleet.Change("a", func(d *ctltest.Daemon) { d.Active = 2 })
		c := client(fleet.URL("a"))
		Expect(c.Drain(ctx)).To(Succeed())
		Expect(fleet.Draining("a")).To(BeTrue())
		active := make(chan int, 10)
		done := make(chan error)
		go func() { done <- c.WaitStopped(ctx, func(n int) { active <- n }) }()
		Eventually(active).WithTimeout(bound).Should(Receive(Equal(2)))
		fleet.Stop("a")
		Eventually(done).WithTimeout(bound).Should(Receive(BeNil()))
	})
})
