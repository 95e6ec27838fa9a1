// Package wal keeps the log of a replica in one file.
//
// The file is a sequence of frames. A frame holds what one sync made
// durable: length, CRC32C and CBOR. A frame is written only after the one
// before it was synced. So a damaged frame at the end of the file is the
// torn tail of a write that was never acknowledged, and is cut; a damaged
// frame with a whole one after it had been synced, and is refused.
package wal
