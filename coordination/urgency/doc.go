// Package urgency orders requests by how urgent they are: the rank of the customer first, then the
// rank of the route. The same order holds wherever requests compete: in queues, in admission, for
// permits, and at the backend servers.
//
// The package is pure: an order is built from one configuration and is immutable.
//
// # Load patterns covered
//
//   - Routes of different ranks share engines that are overloaded: the more urgent one is served
//     first, also where all of its customers have a rank of their own (Of).
//   - A backend server knows only ten ranks: the classes of a service are numbered without gaps, so
//     that no two of them are merged while there are few (Scale).
//   - Engines die under many streams, which all go on elsewhere at once: their prompts are read before
//     those of new streams (ServerRank).
package urgency
