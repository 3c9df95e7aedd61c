package parser

import (
	"time"

	"jujubegate.example/jujubegate"
)

// RestoreConfiguration begins a snapshot of a configuration. The Restore
// statements occur in snapshots only; no operator may run them.
type RestoreConfiguration struct {
	node
	Generation Field[int]
}

func (s *RestoreConfiguration) shape() shape {
	return shape{
		"Restore", "Configuration", nil,
		[]binding{integer("Generation", &s.Generation, 0, maxGeneration).must()},
	}
}

const maxGeneration = 1 << 53 // JSON numbers are exact up to here

// String returns the statement in canonical form.
func (s *RestoreConfiguration) String() string { return format(s.shape()) }

// RestoreDataCentre restores a data centre that is out.
type RestoreDataCentre struct {
	node
	Name   jujubegate.DataCentre
	Reason Field[string]
	Until  Field[time.Time]
	Since  Field[time.Time]
}

func (s *RestoreDataCentre) shape() shape {
	return shape{"Restore", "DataCentre", single(&s.Name), []binding{
		reason(&s.Reason),
		moment("Until", &s.Until),
		moment("Since", &s.Since).must(),
	}}
}

// String returns the statement in canonical form.
func (s *RestoreDataCentre) String() string { return format(s.shape()) }

// RestoreVersion restores a move.
type RestoreVersion struct {
	node
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

func (s *RestoreVersion) shape() shape {
	return shape{"Restore", "Version", single(&s.Name), []binding{
		word("Service", &s.Service).must(),
		word("From", &s.From).must(),
		choice("State", &s.State, StateProving, StateShifting, StateDone, StateTakenBack).must(),
		integer("Share", &s.Share, 0, MaxShare).must(),
		moment("Started", &s.Started).must(),
		moment("Deadline", &s.Deadline).must(),
		choice("OnMissed", &s.OnMissed, OnMissedTakeBack, OnMissedContinue).must(),
		reason(&s.Reason),
	}}
}

// String returns the statement in canonical form.
func (s *RestoreVersion) String() string { return format(s.shape()) }

// RestoreTakenBack restores the mark of a version that was taken back.
type RestoreTakenBack struct {
	node
	Name    jujubegate.Version
	Service Field[jujubegate.Service]
	Reason  Field[string]
}

func (s *RestoreTakenBack) shape() shape {
	return shape{"Restore", "TakenBack", single(&s.Name), []binding{
		word("Service", &s.Service).must(),
		reason(&s.Reason),
	}}
}

// String returns the statement in canonical form.
func (s *RestoreTakenBack) String() string { return format(s.shape()) }

// RestoreToken restores the token of a recent change.
type RestoreToken struct {
	node
	Token      string
	Generation Field[int]
}

func (s *RestoreToken) shape() shape {
	return shape{
		"Restore", "Token", single(&s.Token),
		[]binding{integer("Generation", &s.Generation, 1, maxGeneration).must()},
	}
}

// String returns the statement in canonical form.
func (s *RestoreToken) String() string { return format(s.shape()) }
