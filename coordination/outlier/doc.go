// Package outlier finds backend servers that refuse or fail requests which other servers of their
// service answer, and ejects them for a while (outlier detection).
//
// A server is ejected after so many failures in a row as its service would hardly show by chance: one
// if the other servers answer all requests, more if they fail some as well. Only failures of requests
// that were sent after the previous one was known count, since those under way at the same moment tell
// the same thing. The first ejection is short; each further one lasts twice as long, up to
// maxEjection. After it the server gets one request at a time until it answers one.
//
// A daemon that gets few requests learns little from them. So daemons tell each other of servers that
// answer requests with failures of their own, or answer nothing (Notice): the one that has found it out tries the server again, and the
// others wait for its news a little longer than that takes. A server that is said to be silent is probed by
// each daemon, since the one that tells it may have lost its own link. Refusals are not told: servers that are full
// refuse, and if all daemons left one of them together they would fill the others.
//
// # Contract for the caller
//
// The package must be used by one goroutine at a time; now is a monotonic clock. The caller prefers
// servers that are not Ejected, and uses ejected ones if there are no others. It calls Begin when it
// assigns a request to a server, and Failed or Answered with the time at which the request was sent.
// If an answer is late and CheckDue, it probes the server, and calls Eject if that is in vain while another
// server of the service answers, and Return once it answers. A server that is Held gets no requests. It
// calls Heard for each sign of life of a server, and probes one before it sends a request there if VerifyDue.
// If Receive asks for a probe of a server that answers it, it calls Contradict. It
// sends a Notice for each Ejection with Tell, and calls Prune when the list of servers has changed.
//
// # Failures guarded against
//
//   - A server that refuses or fails each request at once has none in flight, and looks like the best
//     one. Each request would pay for a retry, until the retry budget is empty and all of them fail.
//   - Contents fail at every server, or all servers are full: no one is ejected, however many fail.
//   - A server that fails a part of its requests answers others: its ejections go on growing unless it
//     has answered for a while.
//   - The servers that are left fail as well, once they get the requests of the ejected ones: these are
//     used again if they are not much worse.
//   - A server that stands still reads later what it has been sent, when its callers have long been
//     answered by others. It is tried by probes, not by requests.
//   - Servers stand still again and again, and each time each daemon finds out by a request: for a while
//     after a silence, servers of the service are probed before they are used.
//   - Servers stand still again and again, and each time each daemon finds out by a request: for a while
//     after a silence, servers of the service are probed before they are used.
//   - A request that must not be repeated would be lost at a server that has not recovered: requests
//     that may be repeated go there first.
package outlier
