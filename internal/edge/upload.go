package edge

import (
	"context"
	"errors"
	"time"
)

// AllowUpload returns a context for reading the body of a request. It ends with ctx, or earlier if
// the process is to end and could not serve the request any more. Of the request the host, the path,
// the arrival, the timeout and the token counts must be set. done must be called once the body was
// read.
func (s *Server) AllowUpload(ctx context.Context, r *Request) (uploading context.Context, done func()) {
	ex := s.uploadOf(r)
	if ex.route == nil {
		return ctx, func() {}
	}
	ex.deadline = ex.computeDeadline()
	return ex.untilEnd(ctx, func(_, endsAt time.Time) time.Time {
		return s.history.outlook(ex, 0).LatestBegin(endsAt)
	})
}

// UploadError returns the error, of the kind ShuttingDown, of a request whose body was not read
// because a context of AllowUpload has ended; nil if it has not ended for the end of the process.
func (s *Server) UploadError(uploading context.Context, r *Request) error {
	if !errors.Is(context.Cause(uploading), errEndsBefore) {
		return nil
	}
	return s.uploadOf(r).shuttingDownError()
}

// uploadOf returns the state of a request whose body is still arriving. Its route is nil if there
// is none.
func (s *Server) uploadOf(r *Request) *exchange {
	ex := &exchange{server: s, request: r, config: s.Directory.Config()}
	if ex.config != nil {
		ex.route = ex.config.Route(r.Host, r.Path)
	}
	return ex
}
