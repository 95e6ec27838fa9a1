// Package wave plans the next steps of maintenance waves.
//
// A wave takes as many VMs out of service as the budgets allow at present,
// spread over pools, zones and racks. It starts with a small width, widens as
// VMs return to service, and falls back to one VM at a time after a loss.
package wave
