package cmd_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lacewingdoor/lacewingdoor/internal/cmd"
	"github.com/lacewingdoor/lacewingdoor/internal/responder"
)

func TestSubmitSendsTheDeadline(t *testing.T) {
	i := is.New(t)
	var got responder.JobRequest
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		i.NoErr(json.NewDecoder(r.Body).Decode(&got))
		_, _ = io.WriteString(w, "{}")
	}))
	defer s.Close()
	key := filepath.Join(t.TempDir(), "key")
	i.NoErr(os.WriteFile(key, []byte("key"), 0o600))
	code := cmd.Main([]string{
		"submit", "render", "--deadline", "2026-01-05T06:00:00Z",
		"--server", strings.TrimPrefix(s.URL, "http://"), "--key-file", key,
	}, io.Discard, io.Discard)
	i.Equal(code, 0)
	i.True(got.Deadline.Equal(time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)))
}
