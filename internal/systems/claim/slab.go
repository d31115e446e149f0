package claim

// chunkRows is the number of rows that are allocated at once.
const chunkRows = 1024

// slab holds rows in chunks that never move, so that growing copies nothing.
type slab struct {
	chunks [][]row
	used   uint32
	free   []uint32
}

func (s *slab) add(r row) uint32 {
	if last := len(s.free) - 1; last >= 0 {
		n := s.free[last]
		s.free = s.free[:last]
		*s.at(n) = r
		return n
	}
	n := s.used
	if n%chunkRows == 0 {
		s.chunks = append(s.chunks, make([]row, chunkRows))
	}
	s.used++
	*s.at(n) = r
	return n
}

func (s *slab) at(n uint32) *row {
	return &s.chunks[n/chunkRows][n%chunkRows]
}

func (s *slab) remove(n uint32) {
	s.free = append(s.free, n)
}
