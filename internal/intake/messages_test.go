package intake

import (
	"bytes"
	"encoding/gob"
	"strings"
	"testing"
)

// FuzzMessages guards against messages that the bound takes for longer ones, and
// against a length above the bound that it misses.
func FuzzMessages(f *testing.F) {
	f.Add([]byte("x"), 3, 1)
	f.Add([]byte(strings.Repeat("x", 70_000)), 2, 4096)
	f.Fuzz(func(t *testing.T, raw []byte, count, piece int) {
		if count < 1 || count > 5 || piece < 1 {
			return
		}
		var stream bytes.Buffer
		enc := gob.NewEncoder(&stream)
		for range count {
			if err := enc.Encode(raw); err != nil {
				t.Fatal(err)
			}
		}
		most := uint64(len(raw) + 16)
		for _, row := range []struct {
			most uint64
			ok   bool
		}{{most, true}, {uint64(len(raw)), false}} {
			mc := &messageConn{most: row.most}
			var err error
			for rest := stream.Bytes(); len(rest) > 0 && err == nil; {
				next := min(piece, len(rest))
				err = mc.check(rest[:next])
				rest = rest[next:]
			}
			if (err == nil) != row.ok {
				t.Fatalf("%d messages of %d bytes with a bound of %d: %v", count, len(raw), row.most, err)
			}
		}
	})
}

// FuzzScan guards against a scan that fails on bytes that are no JSON.
func FuzzScan(f *testing.F) {
	f.Add([]byte(`{"a":[1,"\"",{}]}`))
	f.Add([]byte(`"\`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if sh := scan(raw); sh.depth < 0 || sh.objects+sh.arrays+sh.values+sh.keys > len(raw) {
			t.Fatalf("%+v", sh)
		}
	})
}
