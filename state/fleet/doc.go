// Package fleet holds the values that a gateway routes by: the configuration in
// force, the backend servers and the layers that each holds, and the path of a
// request through them. All of them are immutable once they are published.
package fleet
