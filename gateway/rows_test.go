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
	told := following.Told{Revision: 9, Changed: 7}
	rows.attach(&told)
	if told.After != 5 || len(told.Rows) != 1 {
		t.Fatalf("the rows are not in %+v", told)
	}
	later := following.Told{Revision: 9, Changed: 8}
	rows.attach(&later)
	if len(later.Rows) != 0 {
		t.Fatalf("old rows are in %+v", later)
	}
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
