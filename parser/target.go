package parser

import (
	"time"

	"jujubegate.example/jujubegate"
)

// DeclareTarget adds a target.
type DeclareTarget struct {
	node
	Address    jujubegate.Address
	Service    Field[jujubegate.Service]
	Shard      Field[int]
	DataCentre Field[jujubegate.DataCentre]
	Version    Field[jujubegate.Version]
}

func (s *DeclareTarget) shape() shape {
	return shape{"Declare", "Target", address(&s.Address), []binding{
		word("Service", &s.Service).must(),
		integer("Shard", &s.Shard, 0, MaxShards-1).must(),
		word("DataCentre", &s.DataCentre).must(),
		word("Version", &s.Version).must(),
	}}
}

// String returns the statement in canonical form.
func (s *DeclareTarget) String() string { return format(s.shape()) }

// AlterTarget changes the shard or the version of a target that was
// restarted at the same address.
type AlterTarget struct {
	node
	Address jujubegate.Address
	Shard   Field[int]
	Version Field[jujubegate.Version]
}

func (s *AlterTarget) shape() shape {
	return shape{"Alter", "Target", address(&s.Address), []binding{
		integer("Shard", &s.Shard, 0, MaxShards-1),
		word("Version", &s.Version),
	}}
}

// String returns the statement in canonical form.
func (s *AlterTarget) String() string { return format(s.shape()) }

// DropTarget removes a target.
type DropTarget struct {
	node
	Address jujubegate.Address
}

func (s *DropTarget) shape() shape { return shape{"Drop", "Target", address(&s.Address), nil} }

// String returns the statement in canonical form.
func (s *DropTarget) String() string { return format(s.shape()) }

// TakeOutDataCentre stops new work in a data centre.
type TakeOutDataCentre struct {
	node
	Name   jujubegate.DataCentre
	Reason Field[string]
	// Until is the announced return; it has no effect of its own.
	Until Field[time.Time]
	// AllowLoss accepts that shards are left without a serving target.
	AllowLoss Field[bool]
}

func (s *TakeOutDataCentre) shape() shape {
	return shape{"TakeOut", "DataCentre", single(&s.Name), []binding{
		reason(&s.Reason),
		moment("Until", &s.Until),
		boolean("AllowLoss", &s.AllowLoss),
	}}
}

// String returns the statement in canonical form.
func (s *TakeOutDataCentre) String() string { return format(s.shape()) }

// BringInDataCentre returns a data centre to service.
type BringInDataCentre struct {
	node
	Name jujubegate.DataCentre
}

func (s *BringInDataCentre) shape() shape {
	return shape{"BringIn", "DataCentre", single(&s.Name), nil}
}

// String returns the statement in canonical form.
func (s *BringInDataCentre) String() string { return format(s.shape()) }
