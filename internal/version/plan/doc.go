// Package plan defines the types that the planners share: the snapshot from
// which they plan and the Gate that checks availability budgets.
//
// Planners are pure functions of an Input. Each proposed step names the epoch
// that its VM has in the snapshot. The replicated state machine checks the
// step against its current state before it applies it.
package plan
