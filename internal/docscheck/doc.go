// Package docscheck holds pages that are written by hand to the code: the table of
// failures in docs/FAILURES.md to the labels of the tests and the scenarios, and
// the links between pages to the files that they name. All of it is in tests.
package docscheck
