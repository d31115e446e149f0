package route

import (
	"slices"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// FilterLoaded returns the views of the targets that have the model of service
// loaded, according to the latest summaries of their owners. If none has, it
// returns all views, because an owner may have newer information.
func FilterLoaded(service tables.ServiceID, views []View) []View {
	loaded := slices.DeleteFunc(slices.Clone(views), func(v View) bool {
		return slices.Contains(v.Summary.Unloaded, service)
	})
	if len(loaded) == 0 {
		return views
	}
	return loaded
}
