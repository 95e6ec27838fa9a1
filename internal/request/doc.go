// Package request serves callers: it routes, admits, dispatches and
// answers their requests. Everything in it lives as long as one request,
// but for the Table, which is replaced whole when the knowledge changes.
package request
