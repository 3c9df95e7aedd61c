package transporter

import (
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/mover"
	"jujubegate.example/jujubegate/wire"
)

func encodeCounts(counts []jujubegate.RouteCount) []*wire.RouteCount {
	encoded := make([]*wire.RouteCount, len(counts))
	for i, c := range counts {
		encoded[i] = &wire.RouteCount{
			Service: string(c.Service),
			Version: string(c.Version),
			Route:   string(c.Route),
			Load:    uint32(c.Load),
			Answers: c.Answers,
			Errors:  c.Errors,
			Slow:    c.Slow,
			Latency: c.Latency[:],
		}
	}
	return encoded
}

func decodeCounts(counts []*wire.RouteCount) []jujubegate.RouteCount {
	decoded := make([]jujubegate.RouteCount, len(counts))
	for i, c := range counts {
		decoded[i] = jujubegate.RouteCount{
			Service: jujubegate.Service(c.GetService()),
			Version: jujubegate.Version(c.GetVersion()),
			Route:   jujubegate.Route(c.GetRoute()),
			Load:    jujubegate.LoadLevel(c.GetLoad()),
			Answers: c.GetAnswers(),
			Errors:  c.GetErrors(),
			Slow:    c.GetSlow(),
		}
		copy(decoded[i].Latency[:], c.GetLatency())
	}
	return decoded
}

func encodeHalts(halts []mover.Halt) []*wire.Halt {
	encoded := make([]*wire.Halt, len(halts))
	for i, h := range halts {
		encoded[i] = &wire.Halt{
			Service:           string(h.Service),
			Version:           string(h.Version),
			StartedUnixMicros: h.Started.UnixMicro(),
			Reason:            h.Reason,
		}
	}
	return encoded
}

func decodeHalts(halts []*wire.Halt) []mover.Halt {
	decoded := make([]mover.Halt, len(halts))
	for i, h := range halts {
		decoded[i] = mover.Halt{
			Service: jujubegate.Service(h.GetService()),
			Version: jujubegate.Version(h.GetVersion()),
			Started: time.UnixMicro(h.GetStartedUnixMicros()).UTC(),
			Reason:  h.GetReason(),
		}
	}
	return decoded
}
