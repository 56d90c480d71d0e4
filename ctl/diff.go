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

// Differences lists the values in which the existing document differs from the
// submitted one, sorted by path.
func Differences(submitted, existing service.Document) []Difference {
	return differences("", decoded(submitted), decoded(existing))
}

// decoded returns a document as generic JSON maps, slices and values.
func decoded(d service.Document) any {
	var v any
	if err := json.Unmarshal(d.Encode(), &v); err != nil {
		panic("ctl: canonical document is not valid JSON: " + err.Error())
	}
	return v
}

func differences(path string, submitted, existing any) []Difference {
	switch m := submitted.(type) {
	case map[string]any:
		if n, ok := existing.(map[string]any); ok {
			return objectDifferences(path, m, n)
		}
	case []any:
		if n, ok := existing.([]any); ok {
			return arrayDifferences(path, m, n)
		}
	}
	a, b := jsonText(submitted), jsonText(existing)
	if a == b {
		return nil
	}
	return []Difference{{path, a, b}}
}

func objectDifferences(path string, submitted, existing map[string]any) []Difference {
	names := slices.Collect(maps.Keys(submitted))
	for name := range existing {
		if _, both := submitted[name]; !both {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var all []Difference
	for _, name := range names {
		all = append(all, differences(strictjson.Member(path, name), submitted[name], existing[name])...)
	}
	return all
}

func arrayDifferences(path string, submitted, existing []any) []Difference {
	var all []Difference
	for i := range max(len(submitted), len(existing)) {
		var a, b any
		if i < len(submitted) {
			a = submitted[i]
		}
		if i < len(existing) {
			b = existing[i]
		}
		all = append(all, differences(strictjson.Item(path, i), a, b)...)
	}
	return all
}

// jsonText returns a value as JSON, and "" for an absent one, which is nil because
// documents hold no null.
func jsonText(v any) string {
	if v == nil {
		return ""
	}
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		panic("ctl: encode value of a document: " + err.Error())
	}
	return string(bytes.TrimSpace(b.Bytes()))
}
