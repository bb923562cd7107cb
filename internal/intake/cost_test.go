package intake

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// BenchmarkRequest measures an ordinary request on a connection that stays open,
// with and without the limits.
func BenchmarkRequest(b *testing.B) {
	for _, guarded := range []bool{false, true} {
		name := "bare"
		if guarded {
			name = "guarded"
		}
		b.Run(name, func(b *testing.B) {
			lis, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			srv := &http.Server{Handler: http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
				raw, err := io.ReadAll(rq.Body)
				if err != nil || ChargeJSON(rq.Context(), raw) != nil {
					wr.WriteHeader(http.StatusBadRequest)
				}
			})}
			address := lis.Addr().String()
			if guarded {
				gu := New(Limits{}, counter.New(), func(string, ...any) {})
				lis = gu.Guard(srv, lis, Options{Connections: gu.Limits().Connections})
			}
			grp := group.New(context.Background())
			grp.Go(func(context.Context) { _ = srv.Serve(lis) })
			defer grp.Close()
			defer srv.Close()
			const body = `{"spec":"x","bestEffort":true,"steps":[{"count":1,"cpu":500,"memMb":64,"estimatedMs":30}]}`
			b.ReportAllocs()
			for b.Loop() {
				rp, err := http.Post("http://"+address+"/q/1", "application/json", strings.NewReader(body))
				if err != nil || rp.StatusCode != http.StatusOK {
					b.Fatal(rp, err)
				}
				_, _ = io.Copy(io.Discard, rp.Body)
				_ = rp.Body.Close()
			}
		})
	}
}
