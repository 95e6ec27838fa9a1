// Package fairshare keeps what each client account executes while one plan is made: what
// its quota lets it start, and whether it takes more than its weighted share of a pool. It
// does no I/O.
package fairshare
