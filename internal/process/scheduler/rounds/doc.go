// Package rounds decides when a leader's next round of decisions may start.
package rounds
