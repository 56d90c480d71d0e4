package demo_test

import (
	"context"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/internal/demo"
	"github.com/hibiscuswick/hibiscuswick/protocol/platform"
	"github.com/hibiscuswick/hibiscuswick/settings"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
	"github.com/hibiscuswick/hibiscuswick/transport/platformhttp"
)

var _ = Describe("stand-ins for separately run daemons", func() {
	It("write valid settings and documents, and list each daemon under its peer address", func() {
		dir := filepath.Join(GinkgoT().TempDir(), "site")
		s, err := demo.StartStandins(dir, 3)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)

		listed := make(map[state.InstanceID]platform.Instance)
		var servers []state.BackendID
		for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
			set, faults, err := settings.Load(filepath.Join(dir, name+".json"))
			Expect(err).NotTo(HaveOccurred())
			Expect(faults).To(BeEmpty())
			Expect(set.Limits.Seats).To(HaveLen(3))
			instances := platformhttp.NewInstances(set.Platform.InstancesURL, platformhttp.Options{})
			DeferCleanup(instances.Close)
			list, err := instances.List(context.Background())
			Expect(err).NotTo(HaveOccurred())
			for _, in := range list {
				listed[in.ID] = in
			}
			Expect(listed[set.Instance].Role).To(Equal(platform.RoleEntry))
			Expect(listed[set.Instance].Address).To(Equal(set.PeerAddress))
		}

		for _, name := range []string{"drafts", "alerts"} {
			text, err := os.ReadFile(filepath.Join(dir, name+".json"))
			Expect(err).NotTo(HaveOccurred())
			doc, faults := service.Decode(text)
			Expect(faults).To(BeEmpty())
			for _, chain := range doc.Placement.Chains {
				for _, stage := range chain.Stages {
					servers = append(servers, stage.Backend)
				}
			}
		}
		Expect(servers).NotTo(BeEmpty())
		for _, id := range servers {
			Expect(listed).To(HaveKey(state.InstanceID(id)))
		}
	})
})
