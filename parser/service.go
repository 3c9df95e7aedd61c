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

// Words of the field Priority.
const (
	PriorityLow    = "Low"
	PriorityNormal = "Normal"
	PriorityHigh   = "High"
)

// ServiceFields are the fields of a service.
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
	node
	Name jujubegate.Service
	ServiceFields
	// Version is the version that serves; without it, that of the first
	// target that is declared.
	Version Field[jujubegate.Version]
}

func (s *DeclareService) shape() shape {
	fields := s.bindings()
	for i := range fields {
		fields[i].required = fields[i].name != "Priority"
	}
	return shape{"Declare", "Service", single(&s.Name), append(fields, word("Version", &s.Version))}
}

// String returns the statement in canonical form.
func (s *DeclareService) String() string { return format(s.shape()) }

// AlterService changes the given fields of a service.
type AlterService struct {
	node
	Name jujubegate.Service
	ServiceFields
}

func (s *AlterService) shape() shape {
	return shape{"Alter", "Service", single(&s.Name), s.bindings()}
}

// String returns the statement in canonical form.
func (s *AlterService) String() string { return format(s.shape()) }

// DropService removes a service.
type DropService struct {
	node
	Name jujubegate.Service
}

func (s *DropService) shape() shape { return shape{"Drop", "Service", single(&s.Name), nil} }

// String returns the statement in canonical form.
func (s *DropService) String() string { return format(s.shape()) }

// DeclareRoute adds a route to a service.
type DeclareRoute struct {
	node
	Service    jujubegate.Service
	Name       jujubegate.Route
	Idempotent Field[bool]
}

func (s *DeclareRoute) shape() shape {
	return shape{
		"Declare", "Route", routeName(&s.Service, &s.Name),
		[]binding{boolean("Idempotent", &s.Idempotent).must()},
	}
}

// String returns the statement in canonical form.
func (s *DeclareRoute) String() string { return format(s.shape()) }

// AlterRoute changes a route.
type AlterRoute struct {
	node
	Service    jujubegate.Service
	Name       jujubegate.Route
	Idempotent Field[bool]
}

func (s *AlterRoute) shape() shape {
	return shape{
		"Alter", "Route", routeName(&s.Service, &s.Name),
		[]binding{boolean("Idempotent", &s.Idempotent).must()},
	}
}

// String returns the statement in canonical form.
func (s *AlterRoute) String() string { return format(s.shape()) }

// DropRoute removes a route.
type DropRoute struct {
	node
	Service jujubegate.Service
	Name    jujubegate.Route
}

func (s *DropRoute) shape() shape {
	return shape{"Drop", "Route", routeName(&s.Service, &s.Name), nil}
}

// String returns the statement in canonical form.
func (s *DropRoute) String() string { return format(s.shape()) }
