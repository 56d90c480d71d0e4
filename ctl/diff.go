package ctl

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"github.com/hibiscuswick/hibiscuswick/internal/strictjson"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// Difference is one value that differs between two documents.
type Difference struct {
	Path      string
	Submitted string // as JSON; empty where the document has no such value
	Existing  string
}

// Differences lists where now, the document in force, differs from mine, by
// path in the order of the paths' names.
func Differences(mine, now service.Document) []Difference {
	return differences("", tree(mine), tree(now))
}

// tree gives a document as maps, slices and values.
func tree(d service.Document) any {
	var v any
	if err := json.Unmarshal(d.Encode(), &v); err != nil {
		panic("ctl: canonical document is no JSON: " + err.Error())
	}
	return v
}

func differences(path string, mine, now any) []Difference {
	switch m := mine.(type) {
	case map[string]any:
		if n, ok := now.(map[string]any); ok {
			return objectDifferences(path, m, n)
		}
	case []any:
		if n, ok := now.([]any); ok {
			return arrayDifferences(path, m, n)
		}
	}
	a, b := text(mine), text(now)
	if a == b {
		return nil
	}
	return []Difference{{path, a, b}}
}

func objectDifferences(path string, mine, now map[string]any) []Difference {
	names := slices.Collect(maps.Keys(mine))
	for name := range now {
		if _, both := mine[name]; !both {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var all []Difference
	for _, name := range names {
		all = append(all, differences(strictjson.Member(path, name), mine[name], now[name])...)
	}
	return all
}

func arrayDifferences(path string, mine, now []any) []Difference {
	var all []Difference
	for i := range max(len(mine), len(now)) {
		var a, b any
		if i < len(mine) {
			a = mine[i]
		}
		if i < len(now) {
			b = now[i]
		}
		all = append(all, differences(strictjson.Item(path, i), a, b)...)
	}
	return all
}

// text gives a value as JSON, and nothing for one that is absent; documents
// hold no null.
func text(v any) string {
	if v == nil {
		return ""
	}
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		panic("ctl: value of a document is no JSON: " + err.Error())
	}
	return string(bytes.TrimSpace(b.Bytes()))
}
