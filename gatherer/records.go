package gatherer

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of a record. A shorter remainder of a body is ignored.
const RecordBytes = 16

type record [RecordBytes]byte

// Top keeps the greatest records that were added, compared byte by byte.
type Top struct {
	limit int
	// records is sorted in descending order.
	records []record
}

// NewTop returns an empty Top that keeps at most limit records.
func NewTop(limit int) *Top { return &Top{limit: limit, records: make([]record, 0, limit+1)} }

// Add adds the records of the answer of one shard.
func (t *Top) Add(part []byte) {
	for ; len(part) >= RecordBytes; part = part[RecordBytes:] {
		t.add(record(part))
	}
}

func (t *Top) add(r record) {
	n := len(t.records)
	if t.limit <= 0 || n == t.limit && bytes.Compare(r[:], t.records[n-1][:]) <= 0 {
		return
	}
	index, _ := slices.BinarySearchFunc(t.records, r, func(a, b record) int { return bytes.Compare(b[:], a[:]) })
	t.records = slices.Insert(t.records, index, r)
	if len(t.records) > t.limit {
		t.records = t.records[:t.limit]
	}
}

// Bytes returns the records, greatest first.
func (t *Top) Bytes() []byte {
	body := make([]byte, 0, len(t.records)*RecordBytes)
	for _, r := range t.records {
		body = append(body, r[:]...)
	}
	return body
}
