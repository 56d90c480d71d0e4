package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/settings"
)

var file = filepath.Join("..", "examples", "settings.json")

func faults(oldNew ...string) []string {
	text, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	changed := strings.NewReplacer(oldNew...).Replace(string(text))
	Expect(changed).NotTo(Equal(string(text)))
	_, found := settings.Decode([]byte(changed))
	var all []string
	for _, f := range found {
		all = append(all, f.String())
	}
	return all
}

var _ = Describe("settings", func() {
	It("loads the example and applies defaults", func() {
		s, found, err := settings.Load(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeEmpty())
		Expect(s.AddressAnswerValid.Std()).To(Equal(5 * time.Second))
		Expect(s.Drain.Limit.Std()).To(Equal(10 * time.Minute))
		Expect(s.Store.Timeout.Std()).To(Equal(time.Second))
		Expect(s.Log.Format).To(Equal("json"))
	})

	It("returns the error of a file that can't be read", func() {
		_, _, err := settings.Load(filepath.Join(GinkgoT().TempDir(), "none.json"))
		Expect(err).To(MatchError(os.ErrNotExist))
	})

	It("reports all faults at once, each with its path", func() {
		Expect(faults(
			`"10.1.0.7:7100"`, `"entry-1.example:7100"`,
			`"10.1.0.7:7080"`, `"0.0.0.0:7080"`,
			`"http://10.1.0.100:8080"`, `"http://tables:8080"`,
			`"writes_per_second": 300`, `"writes_per_second": 0`,
			`"level": "info"`, `"level": "loud"`,
			`"region": "kerala-south",`, `"drain": {"limit": "5s", "notice": "1"}, "peers": {"probe_interval": "200ms", "silent_after": "1s"},`,
		)).To(ConsistOf(
			`peer_advertise: is "entry-1.example:7100", must be an IP number and a port, such as "10.0.0.7:7100"; host names are not resolved`,
			`caller_advertise: is "0.0.0.0:7080"; give an address that others can connect to`,
			`platform.table_url: is "http://tables:8080", must be an http or https URL with an IP number and a port, such as "http://10.0.0.9:8080"; host names are not resolved`,
			`store.writes_per_second: is 0, must be above 0`,
			`log.level: is "loud", must be one of debug, info, warning, error`,
			`region: is missing`,
			`drain.notice: is "1", must be a number with a unit, such as "250ms"`,
			`drain.limit: is 5s, must be above address_answer_valid and drain.notice together, which are 5s`,
			`peers.probe_timeout: is 300ms, must be below peers.probe_interval, which is 200ms`,
			`peers.silent_after: is 1s, must be above peers.heartbeat_interval, which is 1s`,
		))
	})

	It("requires an address that others can connect to", func() {
		Expect(faults(`"peer_advertise": "10.1.0.7:7100",`, "")).To(ConsistOf(HavePrefix(`peer_advertise: is "0.0.0.0:7100"`)))
		Expect(faults(`"10.1.0.7:7100"`, `"10.1.0.7:0"`)).To(ConsistOf(HavePrefix(`peer_advertise: is "10.1.0.7:0"`)))
		Expect(faults(`0.0.0.0:7080`, `0.0.0.0:7100`)).To(ConsistOf(`caller_address: is "0.0.0.0:7100", which is peer_address too`))
	})
})
