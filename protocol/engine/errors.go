package engine

import "errors"

// errNotSent marks errors of calls of which no byte left this daemon.
var errNotSent = errors.New("not sent")

// ErrStaleEpoch is returned by Resume if the engine has seen a higher epoch:
// another owner has taken over the stream.
var ErrStaleEpoch = errors.New("epoch was superseded")

// ErrCacheNotHeld is returned by ExportKV and ImportKV for an attempt whose KV
// cache the engine does not hold or can't accept. It proves that nothing changed.
var ErrCacheNotHeld = errors.New("attempt's cache is not held")

// MarkNotSent marks err, such as a refused connection, as proof that the call
// never left this daemon.
func MarkNotSent(err error) error {
	return errors.Join(errNotSent, err)
}

// NotSent reports whether err proves that the call never left this daemon.
func NotSent(err error) bool {
	return errors.Is(err, errNotSent)
}
