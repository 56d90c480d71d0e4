// Package following lets a few daemons follow the store for all of them.
//
// The store's calls are bounded and paid for, and each change of a feed would wake
// every daemon that follows it: calls would grow as daemons times changes. Followers
// daemons follow a feed instead, in different failure domains where there are such.
// They pass on what changed, and tell the others a few times a second up to which
// revision they know the feed and how long ago the store said so. Messages go down a
// tree of Degree, so that no daemon's part grows with the number of daemons.
//
// A daemon trusts that only while it hears it, and only as far as it is fresh. In
// any other case it asks the store itself, as if it were alone. A wrong view of who
// follows costs calls, never a promise.
//
// # Failures that the guards are for
//
//   - A follower dies, is paused or is cut off: nothing is heard of it for TrustFor.
//   - A follower's connection to the store has gone silent: its answers grow old.
//   - A follower's messages are held up on the way and arrive in time with each
//     other: they carry the follower's steady clock, and the least delay seen tells
//     how much later than usual one comes.
//   - A message with changes is lost: the next one names a higher revision, and the
//     daemon reads what it lacks.
//   - The store refuses the followers only: they say so, daemons ask it now and then by
//     turns, and one that is answered tells the others in their place.
//   - A daemon hears no announcements for a while, since others know of other daemons than it
//     does: it asks some what they have heard before it asks the store.
package following
