package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleanderwall/oleanderwall/internal/settings"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

func newTestEntry(t *testing.T) *Entry {
	t.Helper()
	set := settings.Default()
	set.EntryID = "entry-1"
	set.Listen = settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	set.Platform = settings.Platform{Table: "http://127.0.0.1:1", Objects: "http://127.0.0.1:1", VMList: "http://127.0.0.1:1"}
	set.Timing.BalancerNotice = settings.NewDuration(0)
	en, err := New(set, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	en.Start()
	return en
}

// TestLeaveSteps guards against steps that run out of order, against a failing
// or hanging step that prevents the later steps or the exit, and against an
// incomplete list of abandoned steps.
func TestLeaveSteps(t *testing.T) {
	errFailed := errors.New("failed")
	for _, row := range []struct {
		name      string
		hangs     bool
		ran       string
		abandoned string
	}{
		{"one step fails", false, "[first failing last]", "failing"},
		{"one step hangs", true, "[first failing]", "failing,hanging,last,stop-components,tell-peers"},
	} {
		en := newTestEntry(t)
		var ran []string
		step := func(name string, err error) {
			en.AddLeaveStep(name, func(context.Context) error {
				ran = append(ran, name)
				return err
			})
		}
		step("first", nil)
		step("failing", errFailed)
		if row.hangs {
			en.AddLeaveStep("hanging", func(context.Context) error { time.Sleep(time.Second); return nil })
		}
		step("last", nil)
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		err := en.Shutdown(ctx)
		cancel()
		var ab *Abandoned
		if !errors.As(err, &ab) || ab.StepList() != row.abandoned {
			t.Errorf("%s: abandoned %v, want steps %s", row.name, err, row.abandoned)
		}
		if fmt.Sprint(ran) != row.ran {
			t.Errorf("%s: ran %v, want %s", row.name, ran, row.ran)
		}
	}
}

// TestFinishCancelsWaits guards against a caller that waits for a job and delays
// the shutdown until the end of its wait, and against requests that start after
// the last one has finished.
func TestFinishCancelsWaits(t *testing.T) {
	in := newInflight()
	started := make(chan struct{})
	handler := in.track(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		close(started)
		<-req.Context().Done()
	}))
	srv := httptest.NewServer(handler)
	defer srv.Close()
	grp := group.New(context.Background())
	t.Cleanup(grp.Wait)
	grp.Go(func(context.Context) {
		rep, err := http.Get(srv.URL + "/v1/jobs/7?wait=60s")
		if err == nil {
			_ = rep.Body.Close()
		}
	})
	<-started
	in.drain()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := in.finish(ctx); err != nil {
		t.Fatal(err)
	}
	rec := httptest.NewRecorder()
	handler.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/v1/services/fitdesk/requests", http.NoBody))
	if rec.Code != http.StatusServiceUnavailable || rec.Header().Get("Oleanderwall-Outcome") != "refused-did-not-run" || rec.Header().Get("Connection") != "close" {
		t.Errorf("request after finish: status %d, header %v", rec.Code, rec.Header())
	}
}
