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
	Names  *connector.Names
	Kinds  Kinds
	Source replicator.Source
	// ReadyPath and LookupPath are where the platform and callers ask.
	ReadyPath, LookupPath string
	// Lookup returns the answer to a look-up, which is sent as JSON.
	Lookup func(Lookup) any
	// Configuration returns the table that an object holds, nil if it holds
	// another one's.
	Configuration func(o replicator.Object, previous *router.Table) (*router.Table, error)
	// Target returns the entry that an object holds, or why it holds none.
	Target func(o replicator.Object) (tracker.Entry, error)
	// OutOfService returns the data centre that an object takes out.
	OutOfService func(o replicator.Object) jujubegate.DataCentre
	// Move returns the order to move a service to a version that an object
	// holds, and EncodeState the status that tells how far it is.
	Move        func(o replicator.Object) (promoter.Move, error)
	EncodeState func(m promoter.Move, s promoter.State) ([]byte, error)
	// Instance and EncodeInstance translate the entry of an instance.
	Instance       func(o replicator.Object) (gossiper.Peer, error)
	EncodeInstance func(p gossiper.Peer) ([]byte, error)
}

// Kinds are the kinds of objects in the store.
type Kinds struct {
	Configuration, Targets, OutOfService, Moves, Instances string
}

// Lookup is the answer to a caller that asks where to connect.
type Lookup struct {
	Addresses []string
	ValidFor  time.Duration
}
