package claim

// interner assigns consecutive IDs to distinct values, in order of first use.
type interner[T comparable] struct {
	ids    map[T]uint32
	values []T
}

func newInterner[T comparable]() interner[T] {
	return interner[T]{ids: make(map[T]uint32)}
}

func (in *interner[T]) intern(v T) uint32 {
	if n, ok := in.ids[v]; ok {
		return n
	}
	n := uint32(len(in.values))
	in.ids[v] = n
	in.values = append(in.values, v)
	return n
}

func (in *interner[T]) lookup(v T) (uint32, bool) {
	n, ok := in.ids[v]
	return n, ok
}

func (in *interner[T]) value(n uint32) T {
	return in.values[n]
}
