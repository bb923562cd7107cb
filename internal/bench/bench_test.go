package bench

import (
	"bytes"
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestScheduleIsSeeded guards against policies that are compared on different
// arrivals, and against a load that differs from Options.Load.
func TestScheduleIsSeeded(t *testing.T) {
	gm := NewWithT(t)
	opt := DefaultRequests()
	opt.Duration = time.Minute
	first := schedule(opt, scenario{})
	gm.Expect(schedule(opt, scenario{})).To(Equal(first))
	work := time.Duration(0)
	for _, ar := range first {
		work += ar.run
	}
	load := work.Seconds() / (opt.Duration.Seconds() * float64(opt.Targets*opt.Slots))
	gm.Expect(load).To(BeNumerically("~", opt.Load, 0.05))
	mean := 0.0
	for _, sp := range drawSpeeds(opt) {
		mean += sp / float64(opt.Targets)
	}
	gm.Expect(mean).To(BeNumerically("~", 1, 1e-9))
}

// TestCheck guards against options that are accepted and then ignored.
func TestCheck(t *testing.T) {
	cases := []struct {
		change func(opt *Options)
		want   string
	}{
		{func(opt *Options) { opt.User = "x" }, `user "x" is not authority or fundacion`},
		{func(opt *Options) { opt.Scenario = "x" }, `scenario "x" is not one of [burst`},
		{func(opt *Options) { opt.Load = 0 }, "load 0 is outside 0.01 to 10"},
		{func(opt *Options) { opt.Duration = time.Millisecond }, "duration in seconds 0.001 is outside 1 to 600"},
		{func(opt *Options) { opt.Targets = 0 }, "targets 0 is outside 1 to 1000"},
		{func(opt *Options) { opt.Policies = []string{"x"} }, `policy "x" is not naive or present`},
	}
	for _, tc := range cases {
		t.Run(tc.want, func(t *testing.T) {
			gm := NewWithT(t)
			opt := DefaultRequests()
			tc.change(&opt)
			_, err := Run(context.Background(), opt)
			gm.Expect(err).To(MatchError(ContainSubstring(tc.want)))
		})
	}
}

// TestRun guards against a load tool that accepts the answer to another request
// as correct, or that loses requests.
func TestRun(t *testing.T) {
	gm := NewWithT(t)
	opt := DefaultRequests()
	opt.Duration = time.Second
	opt.Entries = 2
	opt.Targets = 4
	opt.Load = 0.3
	opt.VMLag = 100 * time.Millisecond
	opt.Settle = 500 * time.Millisecond
	reports, err := Run(context.Background(), opt)
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(reports).To(HaveLen(2))
	for _, rep := range reports {
		gm.Expect(rep.Requests).To(BeNumerically(">", 0))
		gm.Expect(rep.Answered + rep.Refused + rep.Unknown + rep.Errors).To(Equal(rep.Requests))
		gm.Expect(rep.Wrong).To(BeZero())
		var out bytes.Buffer
		gm.Expect(rep.Write(&out)).To(Succeed())
		gm.Expect(out.String()).To(MatchRegexp(`^policy=(naive|present) .* response-over-ideal-p50=\d+\.\d+ .* double-starts=0 `))
	}
}
