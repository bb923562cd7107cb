package faultproxy_test

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oleanderwall/oleanderwall/internal/faultproxy"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// TestFaults guards against a proxy that still forwards after a fault has been
// set. Every failure test depends on it.
func TestFaults(t *testing.T) {
	cases := []struct {
		name         string
		faults       faultproxy.Faults
		existingConn bool
		newConn      bool
	}{
		{"none", faultproxy.Faults{}, true, true},
		{"cut", faultproxy.Faults{Cut: true}, false, false},
		{"freeze", faultproxy.Faults{Freeze: true}, false, false},
		{"freeze existing", faultproxy.Faults{FreezeExisting: true}, false, true},
		{"half-open", faultproxy.Faults{DropRequests: true}, false, false},
		{"drop replies", faultproxy.Faults{DropReplies: true}, false, false},
		{"close after 1 byte", faultproxy.Faults{CloseAfter: 1}, false, false},
		{"delay", faultproxy.Faults{Delay: time.Millisecond}, true, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			gm := NewWithT(t)
			px, err := faultproxy.New(startEcho(t))
			gm.Expect(err).NotTo(HaveOccurred())
			defer px.Close()
			conn := dial(t, px.Address())
			gm.Expect(echoes(conn)).To(BeTrue())
			px.SetFaults(tc.faults)
			gm.Expect(echoes(conn)).To(Equal(tc.existingConn))
			gm.Expect(echoes(dial(t, px.Address()))).To(Equal(tc.newConn))
		})
	}
}

func startEcho(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	grp := group.New(context.Background())
	grp.Go(func(context.Context) {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			grp.Go(func(context.Context) { echo(conn) })
		}
	})
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

func echo(conn net.Conn) {
	defer conn.Close()
	rd := bufio.NewReader(conn)
	for {
		line, err := rd.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := conn.Write([]byte(line)); err != nil {
			return
		}
	}
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func echoes(conn net.Conn) bool {
	const echoTimeout = 500 * time.Millisecond
	_ = conn.SetDeadline(time.Now().Add(echoTimeout))
	if _, err := conn.Write([]byte("ping\n")); err != nil {
		return false
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && line == "ping\n"
}
