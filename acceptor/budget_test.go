package acceptor

import "testing"

func TestSmallClaimsFindRoom(t *testing.T) {
	// Guards against a few clients with the largest heads, whose bodies never come, that keep
	// the requests of all others out.
	const limit, large, small = 10 << 20, 800 << 10, 4 << 10
	b := NewBudget(limit)
	taken := 0
	for b.Reserve(large) {
		taken++
	}
	if taken == 0 {
		t.Fatal("no large claim was granted")
	}
	granted := 0
	for range 500 {
		if b.Reserve(small) {
			granted++
		}
	}
	if granted < 500 {
		t.Errorf("%d of 500 small claims were granted besides %d large ones", granted, taken)
	}
	for b.Reserve(small) {
		granted++
	}
	if used := b.Used(); used > limit {
		t.Errorf("%d bytes are taken, want at most %d", used, limit)
	}
	b.Release(int64(taken)*large + int64(granted)*small)
	if used := b.Used(); used != 0 {
		t.Errorf("%d bytes are taken at the end, want 0", used)
	}
}
