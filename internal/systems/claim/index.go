package claim

// index numbers values in the order in which they come up.
type index[T comparable] struct {
	numbers map[T]uint32
	values  []T
}

func newIndex[T comparable]() index[T] {
	return index[T]{numbers: make(map[T]uint32)}
}

func (x *index[T]) add(v T) uint32 {
	if n, ok := x.numbers[v]; ok {
		return n
	}
	n := uint32(len(x.values))
	x.numbers[v] = n
	x.values = append(x.values, v)
	return n
}

func (x *index[T]) find(v T) (uint32, bool) {
	n, ok := x.numbers[v]
	return n, ok
}

func (x *index[T]) at(n uint32) T {
	return x.values[n]
}
