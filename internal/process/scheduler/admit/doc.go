// Package admit holds what the leader needs to accept or refuse submissions: the newest
// snapshot of the pools, the submissions that are being proposed, and the attempts that
// were refused a moment ago.
package admit
