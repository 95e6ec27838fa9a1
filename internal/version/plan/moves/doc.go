// Package moves plans how VMs change pools: towards the pools that the
// document names, within the budgets, one owner at any time. It also
// proposes changes of the document after lasting shifts of load.
package moves
