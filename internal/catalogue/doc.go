// Package catalogue generates the reference pages and schemas from the code: log
// events, metrics, and the fields of service documents and settings. The pages are
// committed, and a test fails if one of them is out of date. To update them, run
//
//	go generate ./internal/catalogue
package catalogue

//go:generate go run ./write ../..
