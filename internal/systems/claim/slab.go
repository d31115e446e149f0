package claim

// rowsPerChunk is the number of rows per allocation.
const rowsPerChunk = 1024

// slab allocates rows in fixed chunks, so that growing it copies no rows.
// Removed rows are reused.
type slab struct {
	chunks [][]holderRow
	used   uint32
	free   []uint32
}

func (s *slab) add(r holderRow) uint32 {
	if last := len(s.free) - 1; last >= 0 {
		n := s.free[last]
		s.free = s.free[:last]
		*s.at(n) = r
		return n
	}
	n := s.used
	if n%rowsPerChunk == 0 {
		s.chunks = append(s.chunks, make([]holderRow, rowsPerChunk))
	}
	s.used++
	*s.at(n) = r
	return n
}

func (s *slab) at(n uint32) *holderRow {
	return &s.chunks[n/rowsPerChunk][n%rowsPerChunk]
}

func (s *slab) remove(n uint32) {
	s.free = append(s.free, n)
}
