package route

import (
	"slices"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Loaded returns the views of the targets that hold the model of a service, by
// their owners' last word. When none does it returns all, since an owner may
// know better by now.
func Loaded(service tables.ServiceID, views []View) []View {
	held := slices.DeleteFunc(slices.Clone(views), func(v View) bool {
		return slices.Contains(v.Summary.Unloaded, service)
	})
	if len(held) == 0 {
		return views
	}
	return held
}
