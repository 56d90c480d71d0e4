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

// A daemon that learns of a configuration from another one serves by it as if it had
// read it itself: each field comes through.
func TestRowsComeThroughWhole(t *testing.T) {
	items := []site.Item[*fleet.Config]{{Key: "config", Revision: 7, Value: &fleet.Config{
		Version: 3,
		Hosts: map[string][]fleet.Route{"h": {{
			Name: "n", Prefix: "/p/", Repeat: fleet.RunOn, Stream: true, Timeout: time.Second, Target: time.Minute,
			Gap: time.Millisecond, Rank: 2, Anonymous: true, MaxAttempts: 4, Split: []fleet.Share{{Service: "s", Weight: 5}},
		}}},
		Services: map[state.ServiceID]fleet.Service{"s": {ID: "s", MaxConns: 6, Engine: &fleet.Engine{
			Layers: 8, LayerMB: 1.5, LoadTime: time.Hour, Kinds: map[string]fleet.CardKind{"k": {MemoryMB: 1, Pace: 2, ReadPace: 3}},
		}}},
		Keys:   map[string]fleet.Customer{"key": {ID: "c", Rank: 1, Ranked: true}},
		Limits: fleet.Limits{HeaderBytes: 1, BodyBytes: 2, HeaderTimeout: 3, IdleTimeout: 4},
	}}, {Key: "gone", Removed: true, Revision: 8}}
	p := &feedPart[*fleet.Config]{}
	got, err := decode[*fleet.Config](p.encode(items, 6, 8).bytes)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(items, got) {
		t.Fatalf("%+v became %+v", items, got)
	}
}

// A follower stops following just as it has read a change, and follows again later. A
// daemon that took the old rows for all up to the new revision would miss a change, and
// send requests to a server that has left.
func TestRowsGoOnlyWithTheChangeThatTheyAre(t *testing.T) {
	rows := encodedRows{after: 5, upTo: 7, bytes: []byte{1}}
	told := following.Announcement{Revision: 9, LastChange: 7}
	rows.attach(&told)
	if told.RowsAfter != 5 || len(told.Rows) != 1 {
		t.Fatalf("the rows are not in %+v", told)
	}
	later := following.Announcement{Revision: 9, LastChange: 8}
	rows.attach(&later)
	if len(later.Rows) != 0 {
		t.Fatalf("old rows are in %+v", later)
	}
}

// Hundreds of daemons start at one moment, and callers wait while each gets the list of
// thousands of servers; the links between failure domains carry it many times. A row that
// changes goes to all of them too.
func TestRowsAreSmall(t *testing.T) {
	p := &feedPart[fleet.Server]{}
	var items []site.Item[fleet.Server]
	for i := range 3000 {
		s := benchServer(i)
		s.Layers = fleet.Range{From: i * 7 % 70, To: i*7%70 + 10}
		items = append(items, site.Item[fleet.Server]{Key: string(s.ID), Revision: uint64(1000 + i), Value: s})
	}
	const mostEach, mostAlone = 20, 100 // bytes
	whole := len(p.encode(items, 0, 4000).bytes)
	if whole > mostEach*len(items) {
		t.Errorf("%d rows take %d bytes", len(items), whole)
	}
	if one := len(p.encode(items[:1], 999, 1000).bytes); one > mostAlone {
		t.Errorf("one row takes %d bytes", one)
	}
	t.Logf("%d rows: %d bytes, one: %d", len(items), whole, len(p.encode(items[:1], 999, 1000).bytes))
}

// Callers are given up too early while a new version of the daemons is rolled out. Order: a
// daemon of the new version gives the configuration to one of the old version, whose fields
// stand in another order. Cause: the old one took one value for the other's.
func TestRowsOfAnotherVersionAreNotTaken(t *testing.T) {
	type route struct {
		Timeout, Target time.Duration
	}
	type routeOfNext struct {
		Target, Timeout time.Duration
	}
	next := &feedPart[routeOfNext]{}
	rows := next.encode([]site.Item[routeOfNext]{{Key: "r", Value: routeOfNext{Timeout: 2, Target: 3}}}, 0, 1)
	if got, err := decode[routeOfNext](rows.bytes); err != nil || got[0].Value.Target != 3 {
		t.Fatalf("the same version got %v, %v", got, err)
	}
	if got, err := decode[route](rows.bytes); err == nil {
		t.Fatalf("the version before took %v", got)
	}
}

// Rows come over the network: whatever is cut or made up is an error, not a crash or a
// process without memory.
func FuzzRows(f *testing.F) {
	p := &feedPart[fleet.Server]{}
	for _, n := range []int{1, 100} {
		items := make([]site.Item[fleet.Server], n)
		for i := range items {
			items[i] = site.Item[fleet.Server]{Key: "k", Revision: 3, Value: benchServer(i)}
		}
		b := p.encode(items, 0, 4).bytes
		f.Add(b)
		f.Add(b[:len(b)/2])
	}
	f.Add(append(shapeOf[fleet.Server]().head(formPlain), 0xdd, 0xff, 0xff, 0xff, 0xff))
	f.Fuzz(func(t *testing.T, b []byte) {
		items, err := decode[fleet.Server](b)
		if err == nil && len(items) > len(b)*2000 {
			t.Fatalf("%d rows of %d bytes", len(items), len(b))
		}
	})
}

func TestRowsKeepWhyOneCantBeRead(t *testing.T) {
	p := &feedPart[fleet.Server]{}
	rows := p.encode([]site.Item[fleet.Server]{{Key: "a", Revision: 1, Err: errStaleRead}}, 0, 1)
	got, err := decode[fleet.Server](rows.bytes)
	if err != nil || len(got) != 1 || got[0].Err == nil || got[0].Err.Error() != errStaleRead.Error() {
		t.Fatalf("got %+v, %v", got, err)
	}
	if _, err := decode[fleet.Server]([]byte("no rows")); err == nil {
		t.Fatal("broken bytes were taken for rows")
	}
}
