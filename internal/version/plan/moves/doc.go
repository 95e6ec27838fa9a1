// Package moves plans the moves of VMs between pools. It brings every VM to
// the pool that the document declares, within the availability budgets and
// with exactly one owner at any time. It also proposes changes of the document
// after sustained shifts of load.
package moves
