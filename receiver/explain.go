package receiver

import (
	"net/http"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"jujubegate.example/jujubegate/gatherer"
	"jujubegate.example/jujubegate/sender"
)

// log writes one log line about the request and its answer.
func (e *exchange) log(status int, details ...zap.Field) {
	level := zapcore.InfoLevel
	if status >= http.StatusInternalServerError {
		level = zapcore.WarnLevel
	}
	entry := e.settings.Log.Check(level, "receiver: request answered")
	if entry == nil {
		return
	}
	fields := append(make([]zap.Field, 0, len(details)+6),
		zap.String("Request", e.id), zap.Int("Status", status),
		zap.Duration("Took", e.settings.Clock.Since(e.arrival)))
	if e.table != nil {
		fields = append(fields, zap.Int64("Configuration", e.table.Version))
	}
	if e.call != nil && status >= http.StatusInternalServerError {
		fields = append(fields, zap.Stringer("Key", e.key()))
	}
	if e.route != nil {
		fields = append(fields, zap.String("Route", string(e.route.Name)))
	}
	entry.Write(append(fields, details...)...)
}

// attempts encodes the attempts of one call for a log line.
type attempts []sender.Attempt

// MarshalLogArray appends one object for each attempt.
func (as attempts) MarshalLogArray(a zapcore.ArrayEncoder) error {
	for i := range as {
		if err := a.AppendObject(attempt(as[i])); err != nil {
			return err
		}
	}
	return nil
}

type attempt sender.Attempt

// MarshalLogObject adds the fields of an attempt.
func (a attempt) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("Target", a.Target)
	o.AddString("Why", string(a.Kind))
	o.AddDuration("At", a.At)
	if a.Result == "" {
		o.AddString("End", "Pending")
		return nil
	}
	o.AddString("End", string(a.Result))
	o.AddDuration("Took", a.Took)
	if a.Status != 0 {
		o.AddInt("Status", a.Status)
	}
	if a.TargetEnded {
		o.AddBool("TargetEnded", true)
	}
	if a.Err != nil {
		o.AddString("Error", a.Err.Error())
	}
	return nil
}

// missingShards encodes the shards that are missing from an answer for a log line.
type missingShards []gatherer.MissingShard

// MarshalLogArray appends one object for each shard.
func (ms missingShards) MarshalLogArray(a zapcore.ArrayEncoder) error {
	for i := range ms {
		if err := a.AppendObject(missingShard(ms[i])); err != nil {
			return err
		}
	}
	return nil
}

type missingShard gatherer.MissingShard

// MarshalLogObject adds the fields of a missing shard.
func (m missingShard) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("Shard", string(m.Shard))
	o.AddString("Reason", string(m.Result.Reason))
	return o.AddArray("Tries", attempts(m.Result.Attempts))
}
