package counter_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/oleanderwall/oleanderwall/internal/counter"
)

// TestWrite guards against counters that a scraper cannot read.
func TestWrite(t *testing.T) {
	gm := NewWithT(t)
	set := counter.New()
	set.Add(counter.Refusal, "queue-full", 2)
	set.Add(counter.Refusal, "no-target", 1)
	set.Gauge("queue.waiting", 5)
	var out bytes.Buffer
	gm.Expect(set.Write(&out)).To(Succeed())
	gm.Expect(out.String()).To(Equal("oleanderwall_queue_waiting 5\noleanderwall_refusal_no_target 1\noleanderwall_refusal_queue_full 2\n"))
	gm.Expect(set.Sum(counter.Refusal)).To(Equal(int64(3)))
	gm.Expect(set.Value(counter.Retry, "none")).To(BeZero())
}
