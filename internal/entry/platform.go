package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/peer"
)

const connectTimeout = time.Second

// platformClient returns the HTTP client for the table, the object store and
// the list of VMs. The requests are idempotent or carry ids, so retries by Go's
// transport are harmless. tr counts the bytes as control traffic.
func platformClient(tr *peer.Traffic) *http.Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	const idleConnections = 16
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return tr.Meter(conn), nil
		},
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,
	}}
}

// reportTraffic exports the bytes sent to and received from the platform.
func (en *Entry) reportTraffic(context.Context) {
	received, sent := en.platformTraffic.Bytes()
	en.cnt.Gauge("platform.bytes-received", received)
	en.cnt.Gauge("platform.bytes-sent", sent)
}
