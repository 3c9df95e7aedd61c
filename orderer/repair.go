package orderer

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate/storer"
)

const (
	// maxRepairs bounds the records that wait for the store, and thereby the
	// memory of an hour's outage: at most 64 KiB each.
	maxRepairs = 256
	// repairPause is the time between two rounds of repairs.
	repairPause = time.Second
	// repairTimeout bounds one store call of a repair.
	repairTimeout = 5 * time.Second
)

// repairQueue holds the final records that could not be written, by key and token.
type repairQueue struct {
	mu      sync.Mutex
	records []pendingRecord
	added   chan struct{}
}

type pendingRecord struct {
	key    string
	record Record
}

func newRepairQueue() repairQueue { return repairQueue{added: make(chan struct{}, 1)} }

// repair leaves a final record to the background. A record that finds no room
// stays started, which other calls answer with "unknown".
func (o *Orderer) repair(key string, record Record) {
	q := &o.repairs
	q.mu.Lock()
	full := len(q.records) >= maxRepairs
	if !full {
		q.records = append(q.records, pendingRecord{key: key, record: record})
	}
	q.mu.Unlock()
	if full {
		o.Counters.RepairsDropped.Add(1)
		o.Log.Info("orderer: repair dropped", zap.String("order", key))
		return
	}
	select {
	case q.added <- struct{}{}:
	default:
	}
}

// PendingRepairs returns the number of records that wait for the store.
func (o *Orderer) PendingRepairs() int {
	o.repairs.mu.Lock()
	defer o.repairs.mu.Unlock()
	return len(o.repairs.records)
}

// Run finishes records in the background until the context ends.
func (o *Orderer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.repairs.added:
		}
		for o.PendingRepairs() > 0 {
			select {
			case <-ctx.Done():
				return
			case <-o.Clock.After(repairPause):
			}
			o.RepairOnce(ctx)
		}
	}
}

// RepairOnce tries each waiting record once, as far as the write rate allows.
func (o *Orderer) RepairOnce(ctx context.Context) {
	q := &o.repairs
	q.mu.Lock()
	waiting := q.records
	q.records = nil
	q.mu.Unlock()
	var left []pendingRecord
	for i, p := range waiting {
		if ctx.Err() != nil || !o.Writes.AllowN(o.Clock.Now(), 1) {
			left = append(left, waiting[i:]...)
			break
		}
		if !o.repairRecord(ctx, p) {
			left = append(left, p)
		}
	}
	q.mu.Lock()
	q.records = append(left, q.records...)
	q.mu.Unlock()
}

// repairRecord reports whether nothing is left to do for the record. It writes
// only over the started record of its own token.
func (o *Orderer) repairRecord(ctx context.Context, p pendingRecord) bool {
	bounded, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	record, version, err := o.read(bounded, p.key)
	if errors.Is(err, storer.ErrNotFound) {
		return true
	}
	if err != nil {
		return false
	}
	if record.Token != p.record.Token || record.State != Started {
		return true
	}
	if _, err := o.write(bounded, p.key, p.record, version); err != nil {
		return false
	}
	o.Counters.Repaired.Add(1)
	o.Log.Info("orderer: repaired", zap.String("order", p.key), zap.String("state", string(p.record.State)))
	return true
}
