package acceptor

import "testing"

func TestSmallClaimsFindRoom(t *testing.T) {
	// Guards against a few clients with the largest heads, whose bodies never come, that keep
	// the requests of all others out.
	const limit, large, part, small = 10 << 20, 800 << 10, 8 << 10, 4 << 10
	b := NewBudget(limit)
	taken := 0
	// Large claims grow in parts that are small.
	for held := int64(0); b.Reserve(part, held); held = (held + part) % large {
		taken++
	}
	if taken == 0 {
		t.Fatal("no large claim was granted")
	}
	granted := 0
	for range 500 {
		if b.Reserve(small, 0) {
			granted++
		}
	}
	if granted < 500 {
		t.Errorf("%d of 500 small claims were granted besides %d parts of large ones", granted, taken)
	}
	for b.Reserve(small, 0) {
		granted++
	}
	if used := b.Used(); used > limit {
		t.Errorf("%d bytes are taken, want at most %d", used, limit)
	}
	b.Release(int64(taken)*part + int64(granted)*small)
	if used := b.Used(); used != 0 {
		t.Errorf("%d bytes are taken at the end, want 0", used)
	}
}
