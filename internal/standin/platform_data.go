package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/platform"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// tables holds rows by table and key. Deleted rows are kept with their revision, so
// that a revision of a key is never reused.
type tables map[string]map[string]storedRow

type storedRow struct {
	platform.Row
	deleted bool
}

// revision returns the row's revision for a transaction's conditions, and 0 if there
// is no row.
func (t tables) revision(table, key string) uint64 {
	r := t[table][key]
	if r.deleted {
		return 0
	}
	return r.Revision
}

func (t tables) write(w platform.Write) platform.Row {
	if t[w.Table] == nil {
		t[w.Table] = make(map[string]storedRow)
	}
	row := platform.Row{Table: w.Table, Key: w.Key, Value: w.Value, Revision: t[w.Table][w.Key].Revision + 1}
	t[w.Table][w.Key] = storedRow{row, w.Delete}
	return row
}

func (t tables) scan(table, prefix string) []platform.Row {
	out := []platform.Row{}
	for key, r := range t[table] {
		if !r.deleted && strings.HasPrefix(key, prefix) {
			out = append(out, r.Row)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

func (p *Platform) commit(_ *http.Request, body []byte) (any, error) {
	var txn platform.Txn
	if err := json.Unmarshal(body, &txn); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range txn.Conditions {
		if got := p.tables.revision(c.Table, c.Key); got != c.Revision {
			p.counts.Conflicts++
			return nil, &statusError{http.StatusConflict, fmt.Sprintf("%s/%s has revision %d", c.Table, c.Key, got)}
		}
	}
	p.counts.Commits++
	out := platform.Rows{Rows: make([]platform.Row, 0, len(txn.Writes))}
	for _, w := range txn.Writes {
		out.Rows = append(out.Rows, p.tables.write(w))
	}
	return out, nil
}

func (p *Platform) get(r *http.Request, _ []byte) (any, error) {
	table, key := r.PathValue("table"), r.PathValue("key")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Reads++
	row, ok := p.tables[table][key]
	if !ok || row.deleted {
		return nil, &statusError{http.StatusNotFound, "no such row"}
	}
	return row.Row, nil
}

func (p *Platform) scan(r *http.Request, _ []byte) (any, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Reads++
	return platform.Rows{Rows: p.tables.scan(r.PathValue("table"), r.URL.Query().Get("prefix"))}, nil
}

func (p *Platform) put(r *http.Request, body []byte) (any, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Puts++
	p.objects[r.PathValue("name")] = body
	return struct{}{}, nil
}

func (p *Platform) object(r *http.Request, _ []byte) (any, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Reads++
	data, ok := p.objects[r.PathValue("name")]
	if !ok {
		return nil, &statusError{http.StatusNotFound, "no such object"}
	}
	return data, nil
}

func (p *Platform) list(*http.Request, []byte) (any, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Lists++
	return platform.InstanceList{Instances: p.instances.visible(time.Now())}, nil
}

// Rows returns the rows of a table regardless of injected failures, for tests.
func (p *Platform) Rows(table string) []platform.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tables.scan(table, "")
}

// instanceHistory is the instance list with its earlier versions.
type instanceHistory struct {
	lag      time.Duration
	versions []instanceVersion // oldest first
}

type instanceVersion struct {
	at   time.Time
	list []platform.Instance
}

func (h *instanceHistory) current() []platform.Instance {
	if len(h.versions) == 0 {
		return nil
	}
	return slices.Clone(h.versions[len(h.versions)-1].list)
}

func (h *instanceHistory) add(list []platform.Instance) {
	now := time.Now()
	h.versions = append(h.versions, instanceVersion{now, list})
	for len(h.versions) > 2 && now.Sub(h.versions[1].at) > max(h.lag, time.Minute) {
		h.versions = h.versions[1:]
	}
}

// visible returns the list as it was one lag before now.
func (h *instanceHistory) visible(now time.Time) []platform.Instance {
	out := []platform.Instance{}
	for _, v := range h.versions {
		if now.Sub(v.at) < h.lag {
			break
		}
		out = v.list
	}
	return out
}

// InstanceLag makes the instance list lag behind by d.
func (p *Platform) InstanceLag(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances.lag = d
}

// PutInstance adds or replaces one instance.
func (p *Platform) PutInstance(in platform.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.instances.current()
	i := slices.IndexFunc(list, func(o platform.Instance) bool { return o.ID == in.ID })
	if i < 0 {
		list = append(list, in)
	} else {
		list[i] = in
	}
	p.instances.add(list)
}

// RemoveInstance removes one instance from the list.
func (p *Platform) RemoveInstance(id state.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := slices.DeleteFunc(p.instances.current(), func(o platform.Instance) bool { return o.ID == id })
	p.instances.add(list)
}

// SetLeaving marks one instance as leaving.
func (p *Platform) SetLeaving(id state.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.instances.current()
	for i := range list {
		if list[i].ID == id {
			list[i].Leaving = true
		}
	}
	p.instances.add(list)
}
