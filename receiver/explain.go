package receiver

import (
	"net/http"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"jujubegate.example/jujubegate/gatherer"
	"jujubegate.example/jujubegate/sender"
)

// log writes the line that explains how the request was answered.
func (v *visit) log(status int, details ...zap.Field) {
	level := zapcore.InfoLevel
	if status >= http.StatusInternalServerError {
		level = zapcore.WarnLevel
	}
	entry := v.settings.Log.Check(level, "receiver: request answered")
	if entry == nil {
		return
	}
	fields := append(make([]zap.Field, 0, len(details)+6),
		zap.String("Request", v.id), zap.Int("Status", status),
		zap.Duration("Took", v.settings.Clock.Since(v.arrival)))
	if v.table != nil {
		fields = append(fields, zap.Int64("Configuration", v.table.Version))
	}
	if v.route != nil {
		fields = append(fields, zap.String("Route", string(v.route.Name)))
	}
	entry.Write(append(fields, details...)...)
}

// tries makes the tries of one call part of a log line.
type tries []sender.Attempt

// MarshalLogArray appends one object for each try.
func (ts tries) MarshalLogArray(a zapcore.ArrayEncoder) error {
	for i := range ts {
		if err := a.AppendObject(try(ts[i])); err != nil {
			return err
		}
	}
	return nil
}

type try sender.Attempt

// MarshalLogObject writes the fields of a try.
func (t try) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("Target", t.Target)
	o.AddString("Why", string(t.Kind))
	o.AddDuration("At", t.At)
	if t.Result == "" {
		o.AddString("End", "Pending")
		return nil
	}
	o.AddString("End", string(t.Result))
	o.AddDuration("Took", t.Took)
	if t.Status != 0 {
		o.AddInt("Status", t.Status)
	}
	if t.Err != nil {
		o.AddString("Error", t.Err.Error())
	}
	return nil
}

// missing makes the shards left out part of a log line.
type missing []gatherer.Missing

// MarshalLogArray appends one object for each shard.
func (ms missing) MarshalLogArray(a zapcore.ArrayEncoder) error {
	for i := range ms {
		if err := a.AppendObject(missed(ms[i])); err != nil {
			return err
		}
	}
	return nil
}

type missed gatherer.Missing

// MarshalLogObject writes the fields of a shard that was left out.
func (m missed) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("Shard", string(m.Shard))
	o.AddString("Reason", string(m.Outcome.Reason))
	return o.AddArray("Tries", tries(m.Outcome.Attempts))
}
