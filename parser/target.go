package parser

import (
	"time"

	"jujubegate.example/jujubegate"
)

// DeclareTarget adds a target.
type DeclareTarget struct {
	positions
	Address    jujubegate.Address
	Service    Field[jujubegate.Service]
	Shard      Field[int]
	DataCentre Field[jujubegate.DataCentre]
	Version    Field[jujubegate.Version]
}

func (s *DeclareTarget) schema() schema {
	return schema{"Declare", "Target", addressName(&s.Address), []binding{
		nameField("Service", &s.Service).asRequired(),
		integer("Shard", &s.Shard, 0, MaxShards-1).asRequired(),
		nameField("DataCentre", &s.DataCentre).asRequired(),
		nameField("Version", &s.Version).asRequired(),
	}}
}

// String returns the statement in canonical form.
func (s *DeclareTarget) String() string { return canonicalText(s.schema()) }

// AlterTarget changes the shard or the version of a target that was
// restarted at the same address.
type AlterTarget struct {
	positions
	Address jujubegate.Address
	Shard   Field[int]
	Version Field[jujubegate.Version]
}

func (s *AlterTarget) schema() schema {
	return schema{"Alter", "Target", addressName(&s.Address), []binding{
		integer("Shard", &s.Shard, 0, MaxShards-1),
		nameField("Version", &s.Version),
	}}
}

// String returns the statement in canonical form.
func (s *AlterTarget) String() string { return canonicalText(s.schema()) }

// DropTarget removes a target.
type DropTarget struct {
	positions
	Address jujubegate.Address
}

func (s *DropTarget) schema() schema { return schema{"Drop", "Target", addressName(&s.Address), nil} }

// String returns the statement in canonical form.
func (s *DropTarget) String() string { return canonicalText(s.schema()) }

// TakeOutDataCentre takes a data centre out of service: it gets no new work.
type TakeOutDataCentre struct {
	positions
	Name   jujubegate.DataCentre
	Reason Field[string]
	// Until is the announced time of return. It is informational only.
	Until Field[time.Time]
	// AllowLoss permits the statement even if it leaves shards without a serving
	// target.
	AllowLoss Field[bool]
}

func (s *TakeOutDataCentre) schema() schema {
	return schema{"TakeOut", "DataCentre", singleName(&s.Name), []binding{
		reason(&s.Reason),
		timestamp("Until", &s.Until),
		boolean("AllowLoss", &s.AllowLoss),
	}}
}

// String returns the statement in canonical form.
func (s *TakeOutDataCentre) String() string { return canonicalText(s.schema()) }

// BringInDataCentre returns a data centre to service.
type BringInDataCentre struct {
	positions
	Name jujubegate.DataCentre
}

func (s *BringInDataCentre) schema() schema {
	return schema{"BringIn", "DataCentre", singleName(&s.Name), nil}
}

// String returns the statement in canonical form.
func (s *BringInDataCentre) String() string { return canonicalText(s.schema()) }
