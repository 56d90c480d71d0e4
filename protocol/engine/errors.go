package engine

import "errors"

// errNotSent marks errors of calls of which not one byte left this daemon.
var errNotSent = errors.New("not sent")

// ErrEpoch answers a Resume whose epoch is below one seen before: another owner
// has taken the stream over.
var ErrStaleEpoch = errors.New("epoch was overtaken")

// ErrNotHeld answers ExportKV and ImportKV of an attempt whose cache the engine
// does not hold or can't take. It is proof that nothing changed.
var ErrCacheNotHeld = errors.New("attempt's cache is not held")

// MarkNotSent wraps err as proof that the call never left this daemon, such as
// a refused connection.
func MarkNotSent(err error) error {
	return errors.Join(errNotSent, err)
}

// NotSent reports whether err proves that the call never left this daemon.
func NotSent(err error) bool {
	return errors.Is(err, errNotSent)
}
