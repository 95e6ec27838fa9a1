// Package plan holds what the planners share: the snapshot they decide on
// and the arithmetic of availability budgets.
//
// Planners are pure functions over an Input. They propose steps under the
// epochs of the snapshot; the replicated state checks each step against
// newer state before it applies it.
package plan
