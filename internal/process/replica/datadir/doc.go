// Package datadir holds what all durable files of a replica share: the lock
// of the data folder, the identity of the disk, and the replacement of a
// file in a way that outlives a crash at any moment.
package datadir
