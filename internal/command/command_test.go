package command_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oleanderwall/oleanderwall/internal/command"
	"github.com/oleanderwall/oleanderwall/internal/jsonhttp"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
)

func run(in string, args ...string) (code int, out, errs string) {
	var ob, eb bytes.Buffer
	code = command.Run(args, command.Streams{In: strings.NewReader(in), Out: &ob, Err: &eb})
	return code, ob.String(), eb.String()
}

// TestErrorMessages guards against a wrong command line that is run
// nevertheless, or that is refused without a message that names the fault and
// the remedy.
func TestErrorMessages(t *testing.T) {
	dir := t.TempDir()
	broken := filepath.Join(dir, "broken.yaml")
	if err := os.WriteFile(broken, []byte("tasks: [}"), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		args []string
		code int
		want string
	}{
		{nil, 2, "no command given"},
		{[]string{"bogus"}, 2, `unknown command "bogus"`},
		{[]string{"job", "bogus"}, 2, `unknown command "job bogus"`},
		{[]string{"entry"}, 2, "flag -settings is required"},
		{[]string{"check", "-settings", filepath.Join(dir, "none.yaml")}, 1, "read the settings"},
		{[]string{"check", "-bogus"}, 2, "flag provided but not defined: -bogus"},
		{[]string{"status", "extra"}, 2, `unexpected argument "extra"`},
		{[]string{"job", "submit", "-file", broken}, 1, "not valid YAML or JSON"},
		{[]string{"config", "patch", "-file", "-"}, 2, "flag -last-seen is required"},
		{[]string{"request"}, 2, "flag -service is required"},
		{[]string{"status", "-entry", "http://127.0.0.1:1"}, 1, "connection refused"},
	}
	for _, tc := range cases {
		t.Run(strings.Join(tc.args, " "), func(t *testing.T) {
			gm := NewWithT(t)
			code, out, errs := run("", tc.args...)
			gm.Expect(code).To(Equal(tc.code))
			gm.Expect(out).To(BeEmpty())
			gm.Expect(errs).To(ContainSubstring(tc.want))
		})
	}
}

// TestHelp guards against a nonzero exit code for -h.
func TestHelp(t *testing.T) {
	gm := NewWithT(t)
	code, _, errs := run("", "status", "-h")
	gm.Expect(code).To(Equal(0))
	gm.Expect(errs).To(ContainSubstring("-entry"))
}

// TestRefusal guards against a refused request that ends with exit code 0, and
// against output without the reason of the refusal.
func TestRefusal(t *testing.T) {
	gm := NewWithT(t)
	srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set("Oleanderwall-Outcome", "refused-did-not-run")
		wr.WriteHeader(http.StatusTooManyRequests)
		_, _ = wr.Write([]byte(`{"reason":"queue-full"}`))
	}))
	defer srv.Close()
	code, out, errs := run("", "request", "-entry", srv.URL, "-service", "fitdesk", "-body", "{}")
	gm.Expect(code).To(Equal(1))
	gm.Expect(out).To(ContainSubstring("queue-full"))
	gm.Expect(errs).To(ContainSubstring("the outcome is refused-did-not-run (HTTP status 429)"))
}

// TestFormatError guards against an error of an entry that is printed as raw
// JSON, or without its remedy.
func TestFormatError(t *testing.T) {
	gm := NewWithT(t)
	srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		jsonhttp.WriteError(wr, outcome.Refuse(http.StatusServiceUnavailable, "table-unavailable", "the table is down", "try again", 2*time.Second))
	}))
	defer srv.Close()
	code, _, errs := run("", "config", "get", "-entry", srv.URL)
	gm.Expect(code).To(Equal(1))
	gm.Expect(errs).To(Equal("oleanderwall: the table is down (refused-did-not-run, table-unavailable): try again after 2s\n"))
}
