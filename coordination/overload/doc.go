// Package overload decides whether a new stream may start while the engines of its service are
// short of time or memory, before they are so full that every stream is late.
//
// A decision holds a prediction (pathing.Prediction, corrected by Model) against what the stream's
// route promises its callers: the time to the first event and the longest pause between two. The
// less urgent a stream is, the less of the targets and of the engines' memory it may use; the rest is
// kept for more urgent streams. A stream that is turned away has not run, and is told when the load
// will probably have fallen far enough (RetryAfter).
//
// The package has no clock and does no I/O. Callers serialize the calls.
//
// # Load patterns covered
//
//   - Many callers of a background kind come at once: they leave room for the urgent ones, which stay
//     within their targets.
//   - Many callers of the most urgent kind come at once: less urgent ones are turned away first, then
//     those urgent ones that would themselves be late.
//   - Engines die or turn slow: pauses grow beyond the prediction, which learns that within a second
//     (Model), and fewer streams start until the pauses are short again.
//   - Callers that were turned away return spread over time, when others have ended.
//
// # Failures guarded against
//
//   - Measurements stop, since nothing is admitted: the correction is forgotten (correctionMemory), so
//     that streams are tried again.
package overload
