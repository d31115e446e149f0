package auth

import (
	"sync"

	"github.com/bluebellseam/bluebellseam/internal/config"
)

// Cache holds the index that was built last and the configuration version that it
// belongs to. The zero value is ready to use. It is safe for concurrent use.
type Cache struct {
	mu      sync.Mutex
	version config.Version
	index   *Index
}

// Get returns the index of the configuration with the given version and document. It
// builds the index if the cached one is of a different version. Errors are those of
// NewIndex.
func (c *Cache) Get(version config.Version, d config.Document) (*Index, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.index != nil && c.version == version {
		return c.index, nil
	}
	index, err := NewIndex(d)
	if err != nil {
		return nil, err
	}
	c.index, c.version = index, version
	return index, nil
}
