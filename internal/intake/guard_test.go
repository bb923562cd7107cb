package intake

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// testAnswerTime is long enough for a loaded machine to write an answer.
const testAnswerTime = time.Second

// startGuarded starts a server with limits and returns its address and counters.
func startGuarded(t *testing.T, lim Limits) (string, *counter.Set) {
	t.Helper()
	lis, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cnt := counter.New()
	gu := New(lim, cnt, func(string, ...any) {})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /echo", func(wr http.ResponseWriter, rq *http.Request) {
		raw, err := io.ReadAll(rq.Body)
		if err == nil {
			err = ChargeJSON(rq.Context(), raw)
		}
		var limited *Refusal
		switch {
		case errors.As(err, &limited):
			http.Error(wr, limited.Reason, limited.Status)
		case err != nil:
			http.Error(wr, err.Error(), http.StatusBadRequest)
		default:
			_, _ = fmt.Fprintf(wr, "read %d", len(raw))
		}
	})
	mux.HandleFunc("GET /late", func(wr http.ResponseWriter, _ *http.Request) {
		time.Sleep(testAnswerTime * 5 / 4)
		_, _ = io.WriteString(wr, "late")
	})
	mux.HandleFunc("GET /now", func(wr http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(wr, "now") })
	mux.HandleFunc("GET /large", func(wr http.ResponseWriter, _ *http.Request) {
		_, err := wr.Write(make([]byte, 64<<20))
		if err != nil {
			cnt.Add("test", "cut", 1)
		}
	})
	srv := &http.Server{Handler: mux}
	guarded := gu.Guard(srv, lis, Options{Connections: gu.Limits().Connections})
	grp := group.New(context.Background())
	grp.Go(func(context.Context) { _ = srv.Serve(guarded) })
	t.Cleanup(func() {
		_ = srv.Close()
		grp.Close()
	})
	return lis.Addr().String(), cnt
}

// TestAnswers guards against limits that keep a client from its answer, that
// wait for a body which is not needed, or that are not applied.
func TestAnswers(t *testing.T) {
	address, cnt := startGuarded(t, Limits{BodyTime: time.Second, AnswerTime: testAnswerTime, BudgetBytes: 4 << 20})
	const late = "GET /late HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, row := range []struct {
		name, sent string
		want       []string // in this order
		reason     string
	}{
		{"an ordinary request", "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}", []string{"200 OK", "read 2"}, ""},
		{"two requests on a connection", "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}" + late, []string{"read 2", "200 OK", "late"}, ""},
		{"answers that are waited for longer than the time to write them", late + late, []string{"late", "late"}, ""},
		{"HTTP/1.0", "POST /echo HTTP/1.0\r\nContent-Length: 2\r\n\r\n{}", []string{"200 OK", "read 2"}, ""},
		{"a chunked body", "POST /echo HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", []string{"read 2"}, ""},
		{"an upgrade", "GET /now HTTP/1.1\r\nHost: h\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: x\r\n\r\n", []string{"200 OK", "now"}, ""},
		{"HTTP/2 with prior knowledge", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", []string{"HTTP/1.1 400", "Connection: close"}, ReasonBodyClosed},
		{"a client that waits to be asked for its body", "POST /echo HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n{}", []string{"100 Continue", "read 2"}, ""},
		{"the same on a path without a route", "POST /no HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n", []string{"HTTP/1.1 404", "Connection: close"}, ReasonBodyClosed},
		{"a body on a path without a route", "POST /no HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 100_000), []string{"HTTP/1.1 404", "Connection: close"}, ReasonBodyClosed},
		{"a GET with a body that stops", "GET /now HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx", []string{"200 OK", "Connection: close", "now"}, ReasonBodyClosed},
		{"a DELETE with a body", "DELETE /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx", []string{"HTTP/1.1 405", "Connection: close"}, ReasonBodyClosed},
		{"a body that stops", "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx", []string{"HTTP/1.1 408", "Connection: close", ReasonBodySlow}, ReasonBodySlow},
		{"too many fields", "GET /now HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 101) + "\r\n", []string{"HTTP/1.1 431"}, ReasonFields},
		{"as many fields as are allowed", "GET /now HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 99) + "\r\n", []string{"200 OK", "now"}, ""},
		{"a large header", "GET /now HTTP/1.1\r\nHost: h\r\na: " + strings.Repeat("a", 20_000) + "\r\n\r\n", []string{"HTTP/1.1 431"}, ReasonHeader},
		{"a large header that is allowed", "GET /now HTTP/1.1\r\nHost: h\r\na: " + strings.Repeat("a", 16_000) + "\r\n\r\n", []string{"200 OK", "now"}, ""},
		{"a body of many lines", "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("\n", 9000), []string{"read 9000"}, ""},
		{"many short objects", "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("{},", 20_000), []string{"HTTP/1.1 413", ReasonDecoded}, ReasonDecoded},
		{"deep nesting", "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n" + strings.Repeat("[", 101), []string{"HTTP/1.1 400", ReasonDepth}, ReasonDepth},
	} {
		t.Run(row.name, func(t *testing.T) {
			before := cnt.Value(counter.Refusal, row.reason)
			sum := cnt.Sum(counter.Refusal)
			got := exchange(t, address, row.sent, row.want)
			if lost := missing(got, row.want); lost != "" {
				t.Fatalf("%q is missing in the answer %q", lost, got)
			}
			if row.reason == "" {
				if cnt.Sum(counter.Refusal) != sum {
					t.Error("a refusal is counted")
				}
			} else if cnt.Value(counter.Refusal, row.reason) != before+1 {
				t.Errorf("%s is not counted once", row.reason)
			}
		})
	}
}

// exchange sends bytes and returns what is answered, until all expected texts
// have come in their order, the connection ends or five seconds have passed.
func exchange(t *testing.T, address, text string, want []string) string {
	t.Helper()
	conn := dial(t, address)
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	part := make([]byte, 4096)
	for missing(got.String(), want) != "" {
		count, err := conn.Read(part)
		got.Write(part[:count])
		if err != nil {
			break
		}
	}
	return got.String()
}

// missing returns the first of the expected texts that does not follow the ones
// before, "" if all are there.
func missing(text string, want []string) string {
	for _, next := range want {
		_, after, ok := strings.Cut(text, next)
		if !ok {
			return next
		}
		text = after
	}
	return ""
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// TestUnreadAnswer guards against clients that hold a request by never reading
// its answer, also if the request was sent ahead on the connection.
func TestUnreadAnswer(t *testing.T) {
	const now, large = "GET /now HTTP/1.1\r\nHost: h\r\n\r\n", "GET /large HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, sent := range []string{large, now + large, now + now + large + now} {
		address, cnt := startGuarded(t, Limits{AnswerTime: testAnswerTime})
		conn := dial(t, address)
		if _, err := io.WriteString(conn, sent); err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(5 * time.Second); cnt.Value("test", "cut") == 0; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("the answer to %q is still being written", sent)
			}
		}
		if cnt.Value(counter.Refusal, ReasonAnswer) == 0 {
			t.Error("the cut is not counted")
		}
	}
}

// TestConnectionLimit guards against idle and slow connections that keep others
// out, and against closing a connection whose request runs.
func TestConnectionLimit(t *testing.T) {
	address, cnt := startGuarded(t, Limits{Connections: 3, AnswerTime: testAnswerTime})
	running := dial(t, address)
	if _, err := io.WriteString(running, "GET /late HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(testAnswerTime / 10)
	for range 5 {
		slow := dial(t, address)
		if _, err := io.WriteString(slow, "GET /la"); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(testAnswerTime / 10)
	if got := exchange(t, address, "POST /echo HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}", []string{"read 2"}); !strings.Contains(got, "read 2") {
		t.Errorf("a new connection is answered with %q", got)
	}
	rp, err := http.ReadResponse(bufio.NewReader(running), nil)
	if err != nil {
		t.Fatalf("the request that ran: %v", err)
	}
	defer rp.Body.Close()
	if raw, err := io.ReadAll(rp.Body); err != nil || string(raw) != "late" {
		t.Errorf("the request that ran is answered with %q, %v", raw, err)
	}
	if got := cnt.Value(counter.Refusal, ReasonReplaced); got < 4 {
		t.Errorf("%d connections were replaced, want 4", got)
	}
}
