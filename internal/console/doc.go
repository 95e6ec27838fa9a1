// Package console serves the operators' web console over HTTPS. Its pages are
// plain HTML forms and need no JavaScript. An operator signs in with a token,
// opens a draft on the newest accepted version, edits it, and finishes it as one
// validated document, which can be downloaded or applied.
//
// Sessions, drafts and samples are kept in memory only: a restart of the
// console ends all sessions, and a draft that was not downloaded is lost.
package console
