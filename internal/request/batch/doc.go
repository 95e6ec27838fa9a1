// Package batch accepts requests that are run later, durably, and whose
// results can be fetched.
package batch
