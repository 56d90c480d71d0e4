// Package catalogue writes the pages and schemas that list what stands in the
// code: log events, counters, the fields of service documents and of settings.
// The pages are committed; a test reports one that differs from the code, and
//
//	go generate ./internal/catalogue
//
// writes them anew.
package catalogue

//go:generate go run ./write ../..
