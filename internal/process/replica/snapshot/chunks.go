package snapshot

// ChunkBytes is the size of one chunk of a transfer.
const ChunkBytes = 1 << 20

// MaxBytes limits the size of an encoded snapshot.
const MaxBytes = 1 << 30

// Chunk is one part of an encoded snapshot.
type Chunk struct {
	// Transfer identifies the transfer.
	Transfer uint64 `cbor:"1,keyasint"`
	Offset   int    `cbor:"2,keyasint"`
	Total    int    `cbor:"3,keyasint"`
	Data     []byte `cbor:"4,keyasint"`
}

// Split splits an encoded snapshot into chunks.
func Split(transfer uint64, encoded []byte) []Chunk {
	var chunks []Chunk
	for offset := 0; offset < len(encoded); offset += ChunkBytes {
		end := min(offset+ChunkBytes, len(encoded))
		chunks = append(chunks, Chunk{Transfer: transfer, Offset: offset, Total: len(encoded), Data: encoded[offset:end]})
	}
	return chunks
}

// Assembler joins the chunks of one transfer. The first chunk of a new
// transfer discards the previous transfer.
type Assembler struct {
	transfer uint64
	data     []byte
}

// Add appends the next chunk. It returns the snapshot and its encoded form
// once all chunks have arrived.
func (a *Assembler) Add(chunk *Chunk) (*Snapshot, []byte, error) {
	if chunk.Offset == 0 {
		a.transfer = chunk.Transfer
		a.data = nil
	}
	if chunk.Transfer != a.transfer || chunk.Offset != len(a.data) || chunk.Total > MaxBytes {
		return nil, nil, ErrOutOfOrder
	}
	a.data = append(a.data, chunk.Data...)
	if len(a.data) < chunk.Total {
		return nil, nil, nil
	}
	encoded := a.data
	a.data = nil
	s, err := Decode(encoded)
	return s, encoded, err
}
