package conductor

import (
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/connector"
	"jujubegate.example/jujubegate/gossiper"
	"jujubegate.example/jujubegate/promoter"
	"jujubegate.example/jujubegate/replicator"
	"jujubegate.example/jujubegate/router"
	"jujubegate.example/jujubegate/screener"
	"jujubegate.example/jujubegate/tracker"
)

// Adapter converts between the instance's types and the formats of a platform.
// It holds no state.
type Adapter struct {
	Names  *connector.HeaderNames
	Kinds  Kinds
	Source replicator.Source
	// ReadyPath is the HTTP path of the platform's readiness probe, LookupPath
	// that of the callers' address lookup.
	ReadyPath, LookupPath string
	// EncodeLookup returns the value that is sent as JSON in answer to a lookup.
	EncodeLookup func(LookupAnswer) any
	// DecodeConfiguration returns the routing table in an object, or nil if the
	// object is not this deployment's configuration. Previous is the current
	// table.
	DecodeConfiguration func(o replicator.Object, previous *router.Table) (*router.Table, error)
	// LaterConfiguration and LaterTarget report whether a is a later word of the
	// writer of the object than b, whatever their revisions.
	LaterConfiguration, LaterTarget func(a, b replicator.Object) bool
	// DecodeTarget returns the target entry in an object, or an error that says
	// why it holds none.
	DecodeTarget func(o replicator.Object) (tracker.Entry, error)
	// DecodeOutOfService returns the data centre that an object takes out of
	// service.
	DecodeOutOfService func(o replicator.Object) jujubegate.DataCentre
	// DecodeMove returns the requested move of a service to a version, and
	// EncodeState encodes the state of a move for its status in the store.
	DecodeMove  func(o replicator.Object) (promoter.Move, error)
	EncodeState func(m promoter.Move, s promoter.State) ([]byte, error)
	// DecodeInstance and EncodeInstance convert the store entry of an instance.
	DecodeInstance func(o replicator.Object) (gossiper.Peer, error)
	EncodeInstance func(p gossiper.Peer) ([]byte, error)
	// DecodeBlocked and EncodeBlocked convert the requests that crash targets. Decoding
	// returns what can be read, and an error if that is not all.
	DecodeBlocked func(o replicator.Object) ([]screener.Saved, error)
	EncodeBlocked func(list []screener.Saved) ([]byte, error)
}

// Kinds names the kinds of objects in the store.
type Kinds struct {
	Configuration, Targets, OutOfService, Moves, Instances, Blocked string
}

// LookupAnswer lists the addresses to which a caller may connect.
type LookupAnswer struct {
	Addresses []string
	ValidFor  time.Duration
}
