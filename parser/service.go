package parser

import (
	"time"

	"jujubegate.example/jujubegate"
)

// Ranges of the fields of services and targets.
const (
	MaxShards      = 10_000
	MaxSlots       = 1_000
	MaxConnections = 10_000
	MinDeadline    = time.Millisecond
	MaxDeadline    = time.Minute
)

// Values of the field Priority.
const (
	PriorityLow    = "Low"
	PriorityNormal = "Normal"
	PriorityHigh   = "High"
)

// ServiceFields are the fields that DeclareService and AlterService share.
type ServiceFields struct {
	Shards      Field[int]
	Slots       Field[int]
	Connections Field[int]
	ColdLimit   Field[int]
	Deadline    Field[time.Duration]
	Priority    Field[string]
}

func (f *ServiceFields) bindings() []binding {
	return []binding{
		integer("Shards", &f.Shards, 1, MaxShards),
		integer("Slots", &f.Slots, 1, MaxSlots),
		integer("Connections", &f.Connections, 1, MaxConnections),
		integer("ColdLimit", &f.ColdLimit, 1, MaxSlots),
		duration("Deadline", &f.Deadline, MinDeadline, MaxDeadline),
		choice("Priority", &f.Priority, PriorityLow, PriorityNormal, PriorityHigh),
	}
}

// DeclareService adds a service.
type DeclareService struct {
	positions
	Name jujubegate.Service
	ServiceFields
	// Version is the serving version. If it is not given, the service takes the
	// version of the first target that is declared.
	Version Field[jujubegate.Version]
}

func (s *DeclareService) schema() schema {
	fields := s.bindings()
	for i := range fields {
		fields[i].required = fields[i].name != "Priority"
	}
	return schema{"Declare", "Service", singleName(&s.Name), append(fields, nameField("Version", &s.Version))}
}

// String returns the statement in canonical form.
func (s *DeclareService) String() string { return canonicalText(s.schema()) }

// AlterService changes the given fields of a service.
type AlterService struct {
	positions
	Name jujubegate.Service
	ServiceFields
}

func (s *AlterService) schema() schema {
	return schema{"Alter", "Service", singleName(&s.Name), s.bindings()}
}

// String returns the statement in canonical form.
func (s *AlterService) String() string { return canonicalText(s.schema()) }

// DropService removes a service.
type DropService struct {
	positions
	Name jujubegate.Service
}

func (s *DropService) schema() schema { return schema{"Drop", "Service", singleName(&s.Name), nil} }

// String returns the statement in canonical form.
func (s *DropService) String() string { return canonicalText(s.schema()) }

// DeclareRoute adds a route to a service.
type DeclareRoute struct {
	positions
	Service    jujubegate.Service
	Name       jujubegate.Route
	Idempotent Field[bool]
}

func (s *DeclareRoute) schema() schema {
	return schema{
		"Declare", "Route", routeName(&s.Service, &s.Name),
		[]binding{boolean("Idempotent", &s.Idempotent).asRequired()},
	}
}

// String returns the statement in canonical form.
func (s *DeclareRoute) String() string { return canonicalText(s.schema()) }

// AlterRoute changes a route.
type AlterRoute struct {
	positions
	Service    jujubegate.Service
	Name       jujubegate.Route
	Idempotent Field[bool]
}

func (s *AlterRoute) schema() schema {
	return schema{
		"Alter", "Route", routeName(&s.Service, &s.Name),
		[]binding{boolean("Idempotent", &s.Idempotent).asRequired()},
	}
}

// String returns the statement in canonical form.
func (s *AlterRoute) String() string { return canonicalText(s.schema()) }

// DropRoute removes a route.
type DropRoute struct {
	positions
	Service jujubegate.Service
	Name    jujubegate.Route
}

func (s *DropRoute) schema() schema {
	return schema{"Drop", "Route", routeName(&s.Service, &s.Name), nil}
}

// String returns the statement in canonical form.
func (s *DropRoute) String() string { return canonicalText(s.schema()) }
