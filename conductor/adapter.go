package conductor

import (
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/connector"
	"jujubegate.example/jujubegate/gossiper"
	"jujubegate.example/jujubegate/promoter"
	"jujubegate.example/jujubegate/replicator"
	"jujubegate.example/jujubegate/router"
	"jujubegate.example/jujubegate/tracker"
)

// Adapter translates between an instance and its platform. It holds no state.
type Adapter struct {
	Names  *connector.HeaderNames
	Kinds  Kinds
	Source replicator.Source
	// ReadyPath and LookupPath are where the platform and callers ask.
	ReadyPath, LookupPath string
	// EncodeLookup returns the answer to a look-up, which is sent as JSON.
	EncodeLookup func(LookupAnswer) any
	// DecodeConfiguration returns the table that an object holds, nil if it holds
	// another one's.
	DecodeConfiguration func(o replicator.Object, previous *router.Table) (*router.Table, error)
	// DecodeTarget returns the entry that an object holds, or why it holds none.
	DecodeTarget func(o replicator.Object) (tracker.Entry, error)
	// DecodeOutOfService returns the data centre that an object takes out.
	DecodeOutOfService func(o replicator.Object) jujubegate.DataCentre
	// DecodeMove returns the order to move a service to a version that an object
	// holds, and EncodeState the status that tells how far it is.
	DecodeMove  func(o replicator.Object) (promoter.Move, error)
	EncodeState func(m promoter.Move, s promoter.State) ([]byte, error)
	// DecodeInstance and EncodeInstance translate the entry of an instance.
	DecodeInstance func(o replicator.Object) (gossiper.Peer, error)
	EncodeInstance func(p gossiper.Peer) ([]byte, error)
}

// Kinds are the kinds of objects in the store.
type Kinds struct {
	Configuration, Targets, OutOfService, Moves, Instances string
}

// LookupAnswer is the answer to a caller that asks where to connect.
type LookupAnswer struct {
	Addresses []string
	ValidFor  time.Duration
}
