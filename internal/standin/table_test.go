package standin_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/oleanderwall/oleanderwall/internal/standin"
	"github.com/oleanderwall/oleanderwall/internal/table"
)

func startTable(t *testing.T, opt standin.TableOptions) (*standin.Table, *table.Client) {
	t.Helper()
	tb := standin.NewTable(opt)
	srv, err := standin.Serve("127.0.0.1:0", tb)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(srv.Close)
	return tb, table.New(srv.URL(), &http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
}

func insert(id, key, val string) table.Transaction {
	return table.Transaction{
		ID:     id,
		Checks: []table.Check{{Key: key, Version: table.Absent}},
		Writes: []table.Write{{Key: key, Value: json.RawMessage(val)}, {Key: key + "/second", Value: json.RawMessage(val)}},
	}
}

// TestTransactions guards against a stand-in that commits a part of a
// transaction, or one transaction twice. The tests of ownership depend on it.
func TestTransactions(t *testing.T) {
	gm := NewWithT(t)
	ctx := context.Background()
	tb, cl := startTable(t, standin.TableOptions{})
	version, err := cl.Commit(ctx, insert("a", "job/1", `"first"`))
	gm.Expect(err).NotTo(HaveOccurred())
	again, err := cl.Commit(ctx, insert("a", "job/1", `"first"`))
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(again).To(Equal(version))
	_, err = cl.Commit(ctx, insert("b", "job/1", `"second"`))
	var ce *table.ConflictError
	gm.Expect(errors.As(err, &ce)).To(BeTrue())
	gm.Expect(string(ce.Rows[0].Value)).To(Equal(`"first"`))
	for _, row := range tb.Rows("job/") {
		gm.Expect(string(row.Value)).To(Equal(`"first"`))
	}
}

// TestDroppedReply guards against a fault that loses the write together with the
// reply.
func TestDroppedReply(t *testing.T) {
	gm := NewWithT(t)
	ctx := context.Background()
	tb, cl := startTable(t, standin.TableOptions{})
	tb.SetFaults(standin.TableFaults{DropReplies: 1})
	_, err := cl.Commit(ctx, insert("a", "job/1", `1`))
	gm.Expect(err).To(HaveOccurred())
	tb.SetFaults(standin.TableFaults{})
	done, err := cl.Outcome(ctx, "a")
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(done.Committed).To(BeTrue())
}

// TestRates guards against a stand-in that exceeds the configured rate, which
// stands for the capacity of the platform.
func TestRates(t *testing.T) {
	gm := NewWithT(t)
	tb, cl := startTable(t, standin.TableOptions{WritesPerSecond: 10})
	failed := 0
	for i := range 20 {
		if _, err := cl.Commit(context.Background(), table.Transaction{ID: string(rune('a' + i))}); err != nil {
			failed++
		}
	}
	gm.Expect(failed).To(BeNumerically(">", 10))
	gm.Expect(tb.Counts().Refused).To(Equal(int64(failed)))
}

// TestStaleReads guards against a fault under which reads still return rows
// committed after it was set.
func TestStaleReads(t *testing.T) {
	gm := NewWithT(t)
	ctx := context.Background()
	tb, cl := startTable(t, standin.TableOptions{})
	tb.SetFaults(standin.TableFaults{StaleReads: true})
	_, err := cl.Commit(ctx, insert("a", "job/1", `1`))
	gm.Expect(err).NotTo(HaveOccurred())
	row, err := cl.Get(ctx, "job/1")
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(row.Version).To(Equal(table.Absent))
}
