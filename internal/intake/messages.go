package intake

import (
	"fmt"
	"net"
)

// MaxPeerMessage bounds a message of another entry, in bytes. The largest are
// desired states of hundreds of kilobytes and forwarded requests. encoding/gob
// itself allows gigabytes.
const MaxPeerMessage = 32 << 20

// BoundMessages returns a connection whose reads fail when a message of
// encoding/gob is announced with more than the given number of bytes. The
// decoder reads a message as a whole before it decodes it.
func BoundMessages(conn net.Conn, most uint64) net.Conn {
	return &messageConn{Conn: conn, most: most}
}

type messageConn struct {
	net.Conn
	most   uint64
	length uint64 // of the message, as far as it is known
	digits int    // bytes of the length that are missing
	left   uint64 // bytes of the message that are missing
	err    error
}

// Read reads, and checks the lengths of messages.
func (mc *messageConn) Read(raw []byte) (int, error) {
	if mc.err != nil {
		return 0, mc.err
	}
	count, err := mc.Conn.Read(raw)
	if mc.err = mc.check(raw[:count]); mc.err != nil {
		return 0, mc.err
	}
	return count, err
}

// check follows the lengths of messages. A length below 128 is one byte. A longer
// one follows a byte with the negative number of its bytes.
func (mc *messageConn) check(raw []byte) error {
	const maxDigits = 8
	for len(raw) > 0 {
		switch {
		case mc.left > 0:
			skip := min(mc.left, uint64(len(raw)))
			mc.left -= skip
			raw = raw[skip:]
			continue
		case mc.digits > 0:
			mc.length = mc.length<<8 | uint64(raw[0])
			mc.digits--
		case raw[0] < 128:
			mc.length = uint64(raw[0])
		default:
			mc.length, mc.digits = 0, -int(int8(raw[0]))
			if mc.digits > maxDigits {
				return fmt.Errorf("a message has a length of %d bytes", mc.digits)
			}
		}
		raw = raw[1:]
		if mc.digits > 0 {
			continue
		}
		if mc.length > mc.most {
			return fmt.Errorf("a message has %d bytes, the most is %d", mc.length, mc.most)
		}
		mc.left = mc.length
	}
	return nil
}
