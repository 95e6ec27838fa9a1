// Package batch handles batch requests: they are stored durably and run later,
// and their results can be fetched through any entry. A Store keeps them, Routes
// serves their callers, and Runner runs those that the store leases to this
// entry.
package batch
