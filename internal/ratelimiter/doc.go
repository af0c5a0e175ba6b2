// Package ratelimiter keeps each team within its quota over all instances. One instance, the team's keeper, decides about each
// request in a token bucket; the others ask it by datagrams. The design is described in docs/design/quotas.md.
package ratelimiter
