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
	// maxRepairs and maxRepairRows bound the records that wait for the store,
	// and thereby the memory: about 4 MB each.
	maxRepairs    = 8192
	maxRepairRows = 4 << 20
	// repairPause is the time between two rounds of repairs. It doubles up to
	// maxRepairPause while the store does not answer.
	repairPause    = time.Second
	maxRepairPause = 30 * time.Second
	// repairTimeout bounds one store call of a repair.
	repairTimeout = 5 * time.Second
)

// repairQueue holds the final records that could not be written.
type repairQueue struct {
	mu      sync.Mutex
	records []pendingRecord
	rows    int
	added   chan struct{}
}

type pendingRecord struct {
	key    string
	record Record
}

func newRepairQueue() repairQueue { return repairQueue{added: make(chan struct{}, 1)} }

// put queues a record, without its rows if there is no room for them. It
// returns false if there is no room at all.
func (q *repairQueue) put(p pendingRecord) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.records) >= maxRepairs {
		return false
	}
	if q.rows+len(p.record.Rows) > maxRepairRows {
		p.record.Rows, p.record.RowsOmitted = nil, true
	}
	q.rows += len(p.record.Rows)
	q.records = append(q.records, p)
	return true
}

// first returns the record that waits longest.
func (q *repairQueue) first() (pendingRecord, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.records) == 0 {
		return pendingRecord{}, false
	}
	return q.records[0], true
}

func (q *repairQueue) removeFirst() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rows -= len(q.records[0].record.Rows)
	q.records[0] = pendingRecord{}
	q.records = q.records[1:]
}

// repair leaves a final record to the background. A record that finds no room
// stays started, which other calls answer with "unknown".
func (o *Orderer) repair(key string, record Record) {
	if !o.repairs.put(pendingRecord{key: key, record: record}) {
		o.Counters.RepairsDropped.Add(1)
		o.Log.Info("orderer: repair dropped", zap.String("order", key))
		return
	}
	select {
	case o.repairs.added <- struct{}{}:
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
		for pause := repairPause; o.PendingRepairs() > 0; {
			select {
			case <-ctx.Done():
				return
			case <-o.Clock.After(pause):
			}
			if o.RepairOnce(ctx) {
				pause = repairPause
			} else {
				pause = min(2*pause, maxRepairPause)
			}
		}
	}
}

// RepairOnce finishes waiting records until the store fails or the write rate
// is used up, and reports whether it got anywhere. It is called from one
// goroutine.
func (o *Orderer) RepairOnce(ctx context.Context) bool {
	progress := false
	for ctx.Err() == nil && o.WriteLimiter.AllowN(o.Clock.Now(), 1) {
		p, ok := o.repairs.first()
		if !ok || !o.repairRecord(ctx, p) {
			break
		}
		o.repairs.removeFirst()
		progress = true
	}
	return progress
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
