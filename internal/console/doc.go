// Package console serves the operators' forms over HTTPS: pages that work
// without script. A session signs in with a token, opens a draft on the
// version in force, edits it, and ends in one validated document that is
// downloaded or applied.
//
// Sessions, drafts and samples are kept in memory only: a restart of the
// console ends all sessions, and a draft that was not downloaded is lost.
package console
