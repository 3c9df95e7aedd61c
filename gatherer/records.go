package gatherer

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of a record; a shorter rest of a part is none.
const RecordBytes = 16

type record [RecordBytes]byte

// Top collects the greatest records, compared byte by byte.
type Top struct {
	most int
	// records is in falling order.
	records []record
}

// NewTop returns an empty collection of at most so many records.
func NewTop(most int) *Top { return &Top{most: most, records: make([]record, 0, most+1)} }

// Add takes in the records of a part.
func (t *Top) Add(part []byte) {
	for ; len(part) >= RecordBytes; part = part[RecordBytes:] {
		t.add(record(part))
	}
}

func (t *Top) add(r record) {
	n := len(t.records)
	if t.most <= 0 || n == t.most && bytes.Compare(r[:], t.records[n-1][:]) <= 0 {
		return
	}
	at, _ := slices.BinarySearchFunc(t.records, r, func(a, b record) int { return bytes.Compare(b[:], a[:]) })
	t.records = slices.Insert(t.records, at, r)
	if len(t.records) > t.most {
		t.records = t.records[:t.most]
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
