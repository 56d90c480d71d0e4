// Package answersize estimates how many tokens the answer to a request will have, from the hint of
// its caller and from what earlier answers of the same route had.
//
// The package is pure: no clock, no I/O, no goroutine. The caller asks for Expected before a request
// is sent, for Total while its answer is running, and reports the length of complete answers with
// Observe. Answers that were cut must not be reported: they only show that the answer would have been
// longer. An Estimator is not safe for concurrent use. It forgets with the number of observations, so
// that a route without traffic keeps what is known of it.
//
// An estimate is a mean, since the caller adds estimates up to the load of a server. It starts with a
// fixed share of the longest answer and moves to what was observed: the ratio of answers to their
// hints, by the size of the hint, or without a hint to the longest answer that was allowed.
//
// # Load patterns covered
//
//   - Hints that are right at the median but often far off: large ones are mostly too large, small
//     ones too small (the bands of a route).
//   - Routes whose answers are much shorter or longer than others' at the same limit, and that change.
//   - Long answers among many short ones: the longer one runs, the more it will probably still
//     produce (Total).
//
// # Failures guarded against
//
//   - Hints without meaning: the ratios of a band lead back to the mean of the route's answers.
//   - Hints or limits that are wrong by orders of magnitude: an estimate is at least 1 token and at
//     most the longest answer.
//   - A restart: without observations an estimate is what it is without this package.
//   - A configuration with ever new routes: the state is bounded by MaxRoutes.
package answersize
