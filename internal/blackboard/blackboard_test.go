package blackboard_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
)

// TestChanged guards against a change that is not signalled, and against a
// signal without a change.
func TestChanged(t *testing.T) {
	gm := NewWithT(t)
	var cell blackboard.Cell[int]
	gm.Expect(cell.Load()).To(BeNil())
	changed := cell.Changed()
	one := 1
	cell.Publish(&one)
	gm.Expect(changed).To(BeClosed())
	changed = cell.Changed()
	cell.Update(func(old *int) *int { return old })
	gm.Expect(changed).NotTo(BeClosed())
	gm.Expect(*cell.Load()).To(Equal(1))
}
