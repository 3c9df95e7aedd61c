package parser

import (
	"time"

	"jujubegate.example/jujubegate"
)

// RestoreConfiguration begins a snapshot of a configuration. The Restore
// statements occur only in snapshots; operators may not run them.
type RestoreConfiguration struct {
	positions
	Generation Field[int]
}

func (s *RestoreConfiguration) schema() schema {
	return schema{
		"Restore", "Configuration", nil,
		[]binding{integer("Generation", &s.Generation, 0, maxGeneration).asRequired()},
	}
}

const maxGeneration = 1 << 53 // JSON numbers represent integers exactly only up to 2^53

// String returns the statement in canonical form.
func (s *RestoreConfiguration) String() string { return canonicalText(s.schema()) }

// RestoreDataCentre restores a data centre that is out of service.
type RestoreDataCentre struct {
	positions
	Name   jujubegate.DataCentre
	Reason Field[string]
	Until  Field[time.Time]
	Since  Field[time.Time]
}

func (s *RestoreDataCentre) schema() schema {
	return schema{"Restore", "DataCentre", singleName(&s.Name), []binding{
		reason(&s.Reason),
		timestamp("Until", &s.Until),
		timestamp("Since", &s.Since).asRequired(),
	}}
}

// String returns the statement in canonical form.
func (s *RestoreDataCentre) String() string { return canonicalText(s.schema()) }

// RestoreVersion restores the move of a service to a version.
type RestoreVersion struct {
	positions
	Name     jujubegate.Version
	Service  Field[jujubegate.Service]
	From     Field[jujubegate.Version]
	State    Field[string]
	Share    Field[int]
	Started  Field[time.Time]
	Deadline Field[time.Time]
	OnMissed Field[string]
	Reason   Field[string]
}

func (s *RestoreVersion) schema() schema {
	return schema{"Restore", "Version", singleName(&s.Name), []binding{
		nameField("Service", &s.Service).asRequired(),
		nameField("From", &s.From).asRequired(),
		choice("State", &s.State, StateProving, StateShifting, StateDone, StateTakenBack).asRequired(),
		integer("Share", &s.Share, 0, MaxShare).asRequired(),
		timestamp("Started", &s.Started).asRequired(),
		timestamp("Deadline", &s.Deadline).asRequired(),
		choice("OnMissed", &s.OnMissed, OnMissedTakeBack, OnMissedContinue).asRequired(),
		reason(&s.Reason),
	}}
}

// String returns the statement in canonical form.
func (s *RestoreVersion) String() string { return canonicalText(s.schema()) }

// RestoreTakenBack restores the record that a version was taken back.
type RestoreTakenBack struct {
	positions
	Name    jujubegate.Version
	Service Field[jujubegate.Service]
	Reason  Field[string]
}

func (s *RestoreTakenBack) schema() schema {
	return schema{"Restore", "TakenBack", singleName(&s.Name), []binding{
		nameField("Service", &s.Service).asRequired(),
		reason(&s.Reason),
	}}
}

// String returns the statement in canonical form.
func (s *RestoreTakenBack) String() string { return canonicalText(s.schema()) }

// RestoreToken restores the token of a recent change.
type RestoreToken struct {
	positions
	Token      string
	Generation Field[int]
}

func (s *RestoreToken) schema() schema {
	return schema{
		"Restore", "Token", singleName(&s.Token),
		[]binding{integer("Generation", &s.Generation, 1, maxGeneration).asRequired()},
	}
}

// String returns the statement in canonical form.
func (s *RestoreToken) String() string { return canonicalText(s.schema()) }
