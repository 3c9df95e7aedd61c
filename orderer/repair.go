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
	// maxRepairs and maxRepairRowBytes bound the memory of the queued records and of
	// their rows, to about 4 MB each.
	maxRepairs        = 8192
	maxRepairRowBytes = 4 << 20
	// repairInterval is the time between two rounds of repairs. It doubles, up to
	// maxRepairInterval, after each round without progress.
	repairInterval    = time.Second
	maxRepairInterval = 30 * time.Second
	// repairTimeout bounds the store calls of one repair.
	repairTimeout = 5 * time.Second
)

// repairQueue holds the final records whose write failed or is uncertain.
type repairQueue struct {
	mu       sync.Mutex
	records  []pendingRecord
	rowBytes int
	added    chan struct{}
}

type pendingRecord struct {
	key    string
	record Record
}

func newRepairQueue() repairQueue { return repairQueue{added: make(chan struct{}, 1)} }

// put queues a record, without its rows if the rows in the queue would exceed
// maxRepairRowBytes. It returns false if the queue is full.
func (q *repairQueue) put(p pendingRecord) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.records) >= maxRepairs {
		return false
	}
	if q.rowBytes+len(p.record.Rows) > maxRepairRowBytes {
		p.record.Rows, p.record.RowsOmitted = nil, true
	}
	q.rowBytes += len(p.record.Rows)
	q.records = append(q.records, p)
	return true
}

// first returns the oldest record in the queue.
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
	q.rowBytes -= len(q.records[0].record.Rows)
	q.records[0] = pendingRecord{}
	q.records = q.records[1:]
}

// queueRepair queues a final record to be written in the background. If the queue is
// full, the stored record stays in state Started, and other calls answer with the
// outcome Unknown.
func (o *Orderer) queueRepair(key string, record Record) {
	if !o.repairs.put(pendingRecord{key: key, record: record}) {
		o.Counters.RepairsDropped.Add(1)
		o.Log.Info("orderer: record repair dropped, queue is full", zap.String("order", key))
		return
	}
	select {
	case o.repairs.added <- struct{}{}:
	default:
	}
}

// PendingRepairs returns the number of queued records.
func (o *Orderer) PendingRepairs() int {
	o.repairs.mu.Lock()
	defer o.repairs.mu.Unlock()
	return len(o.repairs.records)
}

// Run writes the queued records until the context ends.
func (o *Orderer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.repairs.added:
		}
		for interval := repairInterval; o.PendingRepairs() > 0; {
			select {
			case <-ctx.Done():
				return
			case <-o.Clock.After(interval):
			}
			if o.RepairOnce(ctx) {
				interval = repairInterval
			} else {
				interval = min(2*interval, maxRepairInterval)
			}
		}
	}
}

// RepairOnce writes the queued records until a store call fails or the write limit
// is reached, and reports whether it finished any. It must be called from one
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

// repairRecord writes a final record, but only over a started record with the same
// token. It reports whether the record can be removed from the queue.
func (o *Orderer) repairRecord(ctx context.Context, p pendingRecord) bool {
	timeoutCtx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	record, version, err := o.read(timeoutCtx, p.key)
	if errors.Is(err, storer.ErrNotFound) {
		return true
	}
	if err != nil {
		return false
	}
	if record.Token != p.record.Token || record.State != Started {
		return true
	}
	if _, err := o.write(timeoutCtx, p.key, p.record, version); err != nil {
		return false
	}
	o.Counters.Repaired.Add(1)
	o.Log.Info("orderer: record repaired", zap.String("order", p.key), zap.String("state", string(p.record.State)))
	return true
}
