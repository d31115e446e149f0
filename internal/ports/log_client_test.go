package ports_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/bluebellseam/bluebellseam/internal/httpcall"
	"github.com/bluebellseam/bluebellseam/internal/ports"
)

func TestHeaderWithoutEndIsCutOff(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Long", strings.Repeat("x", 2*httpcall.MaxHeaderBytes))
		_, _ = w.Write([]byte("{}"))
	}))
	defer server.Close()
	_, err := ports.NewLogClient(server.URL, nil).Read(context.Background(), "s", 0, 0)
	if !errors.Is(err, ports.ErrUnavailable) {
		t.Errorf("read with a header of %d bytes: %v, want an error", 2*httpcall.MaxHeaderBytes, err)
	}
}
