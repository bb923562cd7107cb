package demo_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/oleanderwall/oleanderwall/internal/demo"
)

// TestRun guards against a demo, the first command in README.md, that fails or
// prints no answers.
func TestRun(t *testing.T) {
	gm := NewWithT(t)
	var out, errs bytes.Buffer
	gm.Expect(demo.Run(&out, &errs, "../../examples")).To(Succeed(), errs.String())
	gm.Expect(out.String()).To(ContainSubstring(`"state": "complete"`))
	gm.Expect(out.String()).To(ContainSubstring(`"question":"bend frame 12 by 2 degrees"`))
	gm.Expect(out.String()).To(ContainSubstring("oleanderwall_request_answered 2"))
}
