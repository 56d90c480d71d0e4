package gateway

import (
	"reflect"
	"testing"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/following"
	"github.com/hibiscuswick/hibiscuswick/protocol/site"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// A daemon that gets a configuration from another one must serve by it as if it had read
// the store: all fields survive the encoding.
func TestRowsRoundTrip(t *testing.T) {
	items := []site.Item[*fleet.Config]{{Key: "config", Revision: 7, Value: &fleet.Config{
		Version: 3,
		Hosts: map[string][]fleet.Route{"h": {{
			Name: "n", Prefix: "/p/", Repeat: fleet.Resumable, Stream: true, Timeout: time.Second, Target: time.Minute,
			Gap: time.Millisecond, Rank: 2, Anonymous: true, MaxAttempts: 4, Split: []fleet.Share{{Service: "s", Weight: 5}},
		}}},
		Services: map[state.ServiceID]fleet.Service{"s": {ID: "s", MaxConns: 6, Engine: &fleet.Engine{
			Layers: 8, LayerMB: 1.5, LoadTime: time.Hour, Kinds: map[string]fleet.AcceleratorKind{"k": {MemoryMB: 1, Pace: 2, ReadPace: 3}},
		}}},
		Keys:   map[string]fleet.Customer{"key": {ID: "c", Rank: 1, Ranked: true}},
		Limits: fleet.Limits{HeaderBytes: 1, BodyBytes: 2, HeaderTimeout: 3, IdleTimeout: 4},
	}}, {Key: "gone", Removed: true, Revision: 8}}
	tracker := &feedTracker[*fleet.Config]{}
	got, err := decode[*fleet.Config](tracker.encode(items, 6, 8).bytes)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(items, got) {
		t.Fatalf("%+v became %+v", items, got)
	}
}

// A follower stops following just after it has read a change, and follows again later. If
// the old rows went with an announcement of a newer revision, a daemon would miss a change
// and send requests to a server that has left.
func TestRowsAttachOnlyToTheirOwnChange(t *testing.T) {
	rows := encodedRows{after: 5, upTo: 7, bytes: []byte{1}}
	ann := following.Announcement{Revision: 9, LastChange: 7}
	rows.attach(&ann)
	if ann.RowsAfter != 5 || len(ann.Rows) != 1 {
		t.Fatalf("the rows are missing in %+v", ann)
	}
	later := following.Announcement{Revision: 9, LastChange: 8}
	rows.attach(&later)
	if len(later.Rows) != 0 {
		t.Fatalf("old rows are in %+v", later)
	}
}

// When hundreds of daemons start at the same moment, callers wait while each gets the list
// of thousands of servers, and the links between failure domains carry it many times. A row
// that changes goes to all daemons too.
func TestRowsAreSmall(t *testing.T) {
	tracker := &feedTracker[fleet.Server]{}
	var items []site.Item[fleet.Server]
	for i := range 3000 {
		s := benchServer(i)
		s.Layers = fleet.Range{From: i * 7 % 70, To: i*7%70 + 10}
		items = append(items, site.Item[fleet.Server]{Key: string(s.ID), Revision: uint64(1000 + i), Value: s})
	}
	const maxPerRow, maxSingleRow = 20, 100 // bytes
	all := len(tracker.encode(items, 0, 4000).bytes)
	if all > maxPerRow*len(items) {
		t.Errorf("%d rows take %d bytes", len(items), all)
	}
	if one := len(tracker.encode(items[:1], 999, 1000).bytes); one > maxSingleRow {
		t.Errorf("one row takes %d bytes", one)
	}
	t.Logf("%d rows: %d bytes, one: %d", len(items), all, len(tracker.encode(items[:1], 999, 1000).bytes))
}

// While a new version of the daemons is rolled out, a daemon of the new version gives the
// configuration to one of the old version, whose fields are in another order. If the old
// one took one value for another, requests would for instance time out too early.
func TestRowsOfAnotherVersionAreRejected(t *testing.T) {
	type route struct {
		Timeout, Target time.Duration
	}
	type newRoute struct {
		Target, Timeout time.Duration
	}
	newVersion := &feedTracker[newRoute]{}
	rows := newVersion.encode([]site.Item[newRoute]{{Key: "r", Value: newRoute{Timeout: 2, Target: 3}}}, 0, 1)
	if got, err := decode[newRoute](rows.bytes); err != nil || got[0].Value.Target != 3 {
		t.Fatalf("the same version decoded %v, %v", got, err)
	}
	if got, err := decode[route](rows.bytes); err == nil {
		t.Fatalf("the previous version accepted %v", got)
	}
}

// Rows arrive over the network: truncated or forged rows must be an error, not a crash or
// an exhaustion of memory.
func FuzzRows(f *testing.F) {
	tracker := &feedTracker[fleet.Server]{}
	for _, n := range []int{1, 100} {
		items := make([]site.Item[fleet.Server], n)
		for i := range items {
			items[i] = site.Item[fleet.Server]{Key: "k", Revision: 3, Value: benchServer(i)}
		}
		b := tracker.encode(items, 0, 4).bytes
		f.Add(b)
		f.Add(b[:len(b)/2])
	}
	f.Add(append(layoutHashOf[fleet.Server]().header(encodingPlain), 0xdd, 0xff, 0xff, 0xff, 0xff))
	f.Fuzz(func(t *testing.T, b []byte) {
		items, err := decode[fleet.Server](b)
		if err == nil && len(items) > len(b)*2000 {
			t.Fatalf("%d rows of %d bytes", len(items), len(b))
		}
	})
}

func TestRowsKeepReadError(t *testing.T) {
	tracker := &feedTracker[fleet.Server]{}
	rows := tracker.encode([]site.Item[fleet.Server]{{Key: "a", Revision: 1, Err: errStaleRead}}, 0, 1)
	got, err := decode[fleet.Server](rows.bytes)
	if err != nil || len(got) != 1 || got[0].Err == nil || got[0].Err.Error() != errStaleRead.Error() {
		t.Fatalf("got %+v, %v", got, err)
	}
	if _, err := decode[fleet.Server]([]byte("no rows")); err == nil {
		t.Fatal("invalid bytes were decoded as rows")
	}
}
