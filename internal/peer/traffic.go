package peer

import (
	"net"
	"sync/atomic"
)

// Traffic counts the payload bytes of connections, without TCP and IP headers.
type Traffic struct {
	received, sent atomic.Int64
}

// Bytes returns the bytes received and sent so far.
func (tr *Traffic) Bytes() (received, sent int64) {
	return tr.received.Load(), tr.sent.Load()
}

// Meter returns a connection that counts the bytes of conn.
func (tr *Traffic) Meter(conn net.Conn) net.Conn {
	return &meteredConn{Conn: conn, tr: tr}
}

type meteredConn struct {
	net.Conn
	tr *Traffic
}

func (mc *meteredConn) Read(buf []byte) (int, error) {
	n, err := mc.Conn.Read(buf)
	mc.tr.received.Add(int64(n))
	return n, err
}

func (mc *meteredConn) Write(buf []byte) (int, error) {
	n, err := mc.Conn.Write(buf)
	mc.tr.sent.Add(int64(n))
	return n, err
}
