// Package following lets a few daemons follow the store on behalf of all of them.
//
// The store's calls are limited and billed, and each change of a feed would wake every daemon that
// follows it: the number of calls would grow as daemons times changes. Instead, FollowerCount
// daemons follow a feed, in different failure domains if possible. They forward the changes, and
// announce a few times per second up to which revision they know the feed and how long ago the
// store confirmed it. Messages are sent down a tree with the given Fanout, so that no daemon's load
// grows with the number of daemons.
//
// A daemon relies on announcements only while it receives them, and only if they are fresh. In any
// other case it queries the store itself, as if there were no followers. A wrong view of the
// followers costs calls, but never violates a guarantee.
//
// # Failures guarded against
//
//   - A follower dies, is paused or is partitioned: no announcement arrives for AnnouncementTTL.
//   - A follower's connection to the store is unresponsive: the age of its last answer grows.
//   - A follower's messages are delayed in transit and arrive at regular intervals: they carry the
//     follower's monotonic clock, and the difference from the smallest delay seen shows how late a
//     message is.
//   - A message with changes is lost: the next one names a higher revision, and the daemon reads
//     what it is missing.
//   - The store refuses only the followers: they announce it, daemons query the store occasionally
//     and in a staggered way, and a daemon that gets an answer becomes a substitute follower.
//   - A daemon receives no announcements for a while because other daemons have different
//     membership views: it queries other daemons for what they have received before it queries the
//     store.
package following
