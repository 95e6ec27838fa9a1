// Package batch accepts requests that are run later, durably, and whose
// results can be fetched through any entry. A Store keeps them; Routes
// answers callers, and Runner runs what the store leases to this entry.
package batch
