// Package wave plans the next steps of maintenance waves.
//
// A wave takes out as many VMs as the budgets allow at the moment, spread
// over pools, zones and racks. It begins narrow, widens while VMs come back
// and falls back to one VM after a loss.
package wave
