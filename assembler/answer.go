package assembler

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/asker"
	"jujubegate.example/jujubegate/orderer"
	"jujubegate.example/jujubegate/querier"
)

func (d *Daemon) query(ctx context.Context, request asker.QueryRequest) (asker.QueryAnswer, *jujubegate.Refusal) {
	answer, refusal := d.querier.Query(ctx, querier.Request{
		Service:      request.Service,
		Route:        request.Route,
		Caller:       request.Caller,
		Body:         request.Body,
		Timeout:      time.Duration(request.TimeoutMs) * time.Millisecond,
		AllowPartial: request.AllowPartial,
	})
	if refusal != nil {
		return asker.QueryAnswer{}, refusal
	}
	if refusal := d.checkRowCount(answer.Rows); refusal != nil {
		return asker.QueryAnswer{}, refusal
	}
	d.queryLatency.Record(answer.Took)
	return asker.QueryAnswer{
		QueryID:  answer.QueryID,
		Snapshot: answer.Snapshot,
		Coverage: encodeCoverage(answer.Coverage),
		Rows:     answer.Rows,
		Hedges:   answer.Hedges,
		Retries:  answer.Retries,
		Instance: d.self.Instance,
	}, nil
}

// minRowBytes is the size of the shortest row, including its separator.
const minRowBytes = 2

// checkRowCount refuses an answer with more than MaxRows rows. It counts the rows
// only if the answer is long enough to hold that many.
func (d *Daemon) checkRowCount(rows []byte) *jujubegate.Refusal {
	limit := d.settings.Limits.MaxRows
	if len(rows) <= limit*minRowBytes {
		return nil
	}
	var list []json.RawMessage
	if err := json.Unmarshal(rows, &list); err != nil || len(list) > limit {
		return &jujubegate.Refusal{
			Reason:  jujubegate.BadAnswer,
			Outcome: jujubegate.Ran,
			Detail:  fmt.Sprintf("answer has %d rows, more than MaxRows %d", len(list), limit),
		}
	}
	return nil
}

func encodeCoverage(c jujubegate.Coverage) asker.Coverage {
	encoded := asker.Coverage{Fraction: c.Fraction()}
	for _, r := range c.Missing() {
		encoded.Missing = append(encoded.Missing, asker.KeyRange{Start: r.Start, End: r.End})
	}
	return encoded
}

func (d *Daemon) order(ctx context.Context, request asker.OrderRequest) (asker.OrderAnswer, *jujubegate.Refusal) {
	id, refusal := parseID(request.ID)
	if refusal != nil {
		return asker.OrderAnswer{}, refusal
	}
	// An order that may have started is not stopped when the caller disconnects.
	record, refusal := d.orderer.Order(context.WithoutCancel(ctx), orderer.Request{
		Service: request.Service,
		Route:   request.Route,
		Caller:  request.Caller,
		ID:      id,
		Key:     request.Key,
		Body:    request.Body,
		Timeout: time.Duration(request.TimeoutMs) * time.Millisecond,
		First:   request.First,
	})
	if refusal != nil {
		return asker.OrderAnswer{}, refusal
	}
	return encodeRecord(record), nil
}

func (d *Daemon) outcome(ctx context.Context, service jujubegate.Service, text string) (asker.OrderAnswer, *jujubegate.Refusal) {
	id, refusal := parseID(text)
	if refusal != nil {
		return asker.OrderAnswer{}, refusal
	}
	record, refusal := d.orderer.Lookup(ctx, service, id)
	if refusal != nil {
		return asker.OrderAnswer{}, refusal
	}
	return encodeRecord(record), nil
}

func parseID(text string) (uuid.UUID, *jujubegate.Refusal) {
	id, err := uuid.Parse(text)
	if err != nil {
		return id, &jujubegate.Refusal{
			Reason:  jujubegate.BadRequest,
			Outcome: jujubegate.NotRun,
			Detail:  "ID is not a UUID: " + err.Error(),
		}
	}
	return id, nil
}

func encodeRecord(r orderer.Record) asker.OrderAnswer {
	return asker.OrderAnswer{ID: r.ID, Outcome: r.Outcome().String(), Rows: r.Rows, Detail: r.Detail}
}

func (d *Daemon) addresses(dataCentre jujubegate.DataCentre, caller jujubegate.Caller) asker.AddressesAnswer {
	answer := d.advertiser.Lookup(dataCentre, xxhash.Sum64String(string(caller)), d.clock.Now())
	return asker.AddressesAnswer{
		Addresses:  answer.Addresses,
		ValidForMs: min(answer.ValidFor, d.settings.Lookup.ValidFor).Milliseconds(),
	}
}
