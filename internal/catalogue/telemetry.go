package catalogue

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const eventsIntro = `# Log events
` + generatedNote + `
A daemon writes one JSON object per line to standard error. Each has ` + "`number`" + `, ` + "`event`" + `,
` + "`level`" + `, ` + "`time`" + ` (RFC 3339, UTC) and ` + "`msg`" + `, and those of the following fields that apply to the event:
%s.

The meaning of a number never changes, and a number is never reused.
`

const countersIntro = `# Counters
` + generatedNote + `
A daemon serves its metrics in the Prometheus format at ` + "`/metrics`" + ` of its caller address;
they are at most half a second old. Counters start at 0 with the process and only increase.
Histograms are in seconds.
`

// eventAreas are the ranges of event numbers, each with its first number.
var eventAreas = []struct {
	first telemetry.Event
	title string
}{
	{1000, "Daemon"},
	{1100, "Membership"},
	{1200, "Documents"},
	{1300, "Requests"},
	{1400, "Store"},
	{1500, "Leases and orders"},
	{1600, "Backend servers"},
	{1700, "Transport"},
}

func eventsPage() []byte {
	var b bytes.Buffer
	keys := lo.Map(telemetry.Keys(), func(k telemetry.Key, _ int) string { return "`" + string(k) + "`" })
	fmt.Fprintf(&b, eventsIntro, strings.Join(keys, ", "))
	for _, area := range eventAreas {
		fmt.Fprintf(&b, "\n## %s\n\n| number | event | level | meaning |\n|---|---|---|---|\n", area.title)
		for _, e := range telemetry.Events() {
			if e.Event-e.Event%100 == area.first {
				fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Event, e.Name, e.Level, e.Doc)
			}
		}
	}
	return b.Bytes()
}

func countersPage(c comments) []byte {
	var b bytes.Buffer
	b.WriteString(countersIntro)
	b.WriteString("\n| name | kind | labels | meaning |\n|---|---|---|---|\n")
	for _, m := range telemetry.Catalogue() {
		labels := lo.Map(m.Labels, func(l telemetry.Label, _ int) string { return "`" + string(l) + "`" })
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", m.Name, m.Kind, strings.Join(labels, ", "), m.Doc)
	}
	b.WriteString("\n## Reasons of `refused_total`, `failed_total` and `unknown_total`\n\n")
	b.WriteString("Each is exported from the start of the process, at 0.\n\n| reason | meaning |\n|---|---|\n")
	for _, r := range state.Reasons() {
		fmt.Fprintf(&b, "| `%s` | %s |\n", r, c["Reason:"+string(r)])
	}
	b.WriteString("\n## Reasons of `retried_total`\n\n| reason | meaning |\n|---|---|\n")
	for _, r := range state.RetryReasons() {
		fmt.Fprintf(&b, "| `%s` | %s |\n", r, c["RetryReason:"+string(r)])
	}
	return b.Bytes()
}
