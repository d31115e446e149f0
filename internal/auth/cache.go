package auth

import (
	"sync"

	"github.com/bluebellseam/bluebellseam/internal/config"
)

// Cache keeps the index of the latest configuration version. The zero value
// is ready and safe for concurrent use.
type Cache struct {
	mu      sync.Mutex
	version config.Version
	index   *Index
}

// At returns the index of a version and builds it on the first call for that
// version. Errors are those of NewIndex.
func (c *Cache) At(version config.Version, d config.Document) (*Index, error) {
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
