package intake

import (
	"testing"
	"time"
)

// testBudget is a budget of 1 MB, 256 KB of it in reserve, on a clock of its own.
func testBudget() (*budget, *time.Time) {
	now := time.Unix(1000, 0)
	return newBudget(1<<20, func() time.Time { return now }), &now
}

// TestBudgetBounds guards against requests that hold more than the budget, and
// against bytes that are not returned.
func TestBudgetBounds(t *testing.T) {
	bu, now := testBudget()
	first, second := bu.newCharge(func() {}), bu.newCharge(func() {})
	if verd, _ := bu.try(first, 700<<10, *now); verd != granted {
		t.Fatalf("a charge within the budget: %v", verd)
	}
	if verd, victim := bu.try(second, 300<<10, *now); verd != refused || victim != nil {
		t.Fatalf("a charge beyond the general part: %v, %v", verd, victim)
	}
	first.release()
	first.release()
	if verd, _ := bu.try(second, 300<<10, *now); verd != granted || bu.used != 300<<10 {
		t.Fatalf("after the release: %v, %d used", verd, bu.used)
	}
}

// TestReserve guards against crowds with large or slow bodies that leave no room
// for an ordinary request.
func TestReserve(t *testing.T) {
	bu, now := testBudget()
	crowd, slow, small := bu.newCharge(func() {}), bu.newCharge(func() {}), bu.newCharge(func() {})
	if verd, _ := bu.try(crowd, 768<<10, *now); verd != granted {
		t.Fatal(verd)
	}
	crowd.finish()
	if verd, _ := bu.try(slow, 8<<10, *now); verd != granted {
		t.Fatalf("a small body at its start: %v", verd)
	}
	*now = now.Add(pieceTime + time.Millisecond)
	if verd, _ := bu.try(slow, 8<<10, *now); verd != refused {
		t.Fatalf("a small body that does not arrive in one piece: %v", verd)
	}
	if verd, _ := bu.try(small, 64<<10, *now); verd != granted {
		t.Fatalf("an ordinary request: %v", verd)
	}
	if verd, _ := bu.try(small, 128<<10, *now); verd != refused {
		t.Fatalf("a request that grows beyond a small one: %v", verd)
	}
}

// TestShedOrder guards against shedding a request that is complete, or one that
// holds less for a shorter time than others.
func TestShedOrder(t *testing.T) {
	bu, now := testBudget()
	var closed []string
	charges := map[string]*charge{}
	for _, row := range []struct {
		name  string
		bytes int64
	}{{"complete", 300 << 10}, {"large", 200 << 10}, {"small", 100 << 10}, {"progressing", 160 << 10}} {
		charges[row.name] = bu.newCharge(func() { closed = append(closed, row.name) })
		if verd, _ := bu.try(charges[row.name], row.bytes, *now); verd != granted {
			t.Fatal(row.name, verd)
		}
	}
	charges["complete"].finish()
	*now = now.Add(time.Second)
	if verd, _ := bu.try(charges["progressing"], 4<<10, *now); verd != granted {
		t.Fatal(verd)
	}
	latest := bu.newCharge(func() {})
	verd, victim := bu.try(latest, 200<<10, *now)
	if verd != wait || victim != charges["large"] {
		t.Fatalf("first victim: %v, %v", verd, victim)
	}
	if verd, victim = bu.try(latest, 200<<10, *now); verd != wait || victim != nil {
		t.Fatalf("while the bytes are not yet released: %v, %v", verd, victim)
	}
	if charges["large"].finish() {
		t.Error("a request that was shed runs")
	}
	victim = charges["large"]
	victim.release()
	if verd, _ = bu.try(latest, 200<<10, *now); verd != granted {
		t.Fatalf("after the release: %v", verd)
	}
	if verd, _ = bu.try(victim, 1, *now); verd != refused {
		t.Errorf("a request that was shed goes on: %v", verd)
	}
	if !latest.finish() {
		t.Fatal("the request that was granted its bytes was shed")
	}
	other := bu.newCharge(func() {})
	if _, victim = bu.try(other, 200<<10, *now); victim != charges["small"] && victim != charges["progressing"] {
		t.Errorf("second victim: %v", victim)
	}
}

// TestScan guards against a bound that is below what decoding takes, and against
// valid jobs that are taken for large ones.
func TestScan(t *testing.T) {
	for _, row := range []struct {
		raw  string
		want shape
	}{
		{``, shape{}},
		{`{"a":1}`, shape{objects: 1, keys: 1, depth: 1}},
		{`{"a":"{[,:\"","b":[{},{}]}`, shape{objects: 3, arrays: 1, values: 2, keys: 2, depth: 3}},
		{`[[[`, shape{arrays: 3, depth: 3}},
		{`"\`, shape{}},
		{`]]]`, shape{depth: 0}},
	} {
		if got := scan([]byte(row.raw)); got != row.want {
			t.Errorf("%s: %+v, want %+v", row.raw, got, row.want)
		}
	}
}

// TestHeaderScan guards against headers whose end is missed, so that the lines
// of a body count as fields, and against fields that are not counted.
func TestHeaderScan(t *testing.T) {
	for _, row := range []struct {
		parts []string
		lines int
		ended bool
	}{
		{[]string{"GET / HTTP/1.1\r\nHost: h\r\n\r\none\ntwo\n"}, 2, true},
		{[]string{"GET / HTTP/1.1\r\nHo", "st: h\r", "\n\r", "\none\n"}, 2, true},
		{[]string{"\r\n\r\nGET / HTTP/1.1\nHost: h\n\nbody\n"}, 2, true},
		{[]string{"GET / HTTP/1.1\r\na:\r\nb:\r\nc:"}, 3, false},
	} {
		co := &conn{}
		for _, part := range row.parts {
			if !co.headerEnded {
				co.scanHeader([]byte(part))
			}
		}
		if co.lines != row.lines || co.headerEnded != row.ended {
			t.Errorf("%q: %d lines, ended %v", row.parts, co.lines, co.headerEnded)
		}
	}
}

// TestDefaults guards against defaults that a client within the configuration's
// limits meets on the smallest machine, and against unchecked limits.
func TestDefaults(t *testing.T) {
	li := Limits{MemoryBytes: 144 << 20, Descriptors: 3075}.WithDefaults()
	if li.Connections != 1725 || li.BudgetBytes != 36<<20 || li.SideConnections != 64 || li.HeaderFields != 100 {
		t.Errorf("the limits are %+v", li)
	}
	for _, bad := range []Limits{{Connections: -1}, {BudgetBytes: 1000}, {AnswerTime: -time.Second}} {
		if bad.Check() == nil {
			t.Errorf("%+v is accepted", bad)
		}
	}
}
