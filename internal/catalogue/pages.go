package catalogue

import (
	"os"
	"path/filepath"
	"reflect"

	"github.com/hibiscuswick/hibiscuswick/settings"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// Page is one generated file.
type Page struct {
	Path string // relative to the module root, with slashes
	Text []byte
}

// Pages returns all generated files. root is the module root, whose sources hold the
// comments that the pages quote.
func Pages(root string) ([]Page, error) {
	comments, err := readComments(
		filepath.Join(root, "state"),
		filepath.Join(root, "state", "service"),
		filepath.Join(root, "settings"),
	)
	if err != nil {
		return nil, err
	}
	document := reflect.TypeFor[service.Document]()
	daemon := reflect.TypeFor[settings.Settings]()
	return []Page{
		{"docs/EVENTS.md", eventsPage()},
		{"docs/COUNTERS.md", countersPage(comments)},
		{"docs/SERVICE.md", fieldsPage(serviceIntro, document, comments)},
		{"docs/SETTINGS.md", fieldsPage(settingsIntro, daemon, comments)},
		{"docs/schema/service.schema.json", schemaJSON(document, "Service document", comments)},
		{"docs/schema/settings.schema.json", schemaJSON(daemon, "Settings of one daemon", comments)},
	}, nil
}

// Write writes all pages below root.
func Write(root string) error {
	pages, err := Pages(root)
	if err != nil {
		return err
	}
	for _, p := range pages {
		path := filepath.Join(root, filepath.FromSlash(p.Path))
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(path, p.Text, 0o644); err != nil {
			return err
		}
	}
	return nil
}
