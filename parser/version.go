package parser

import (
	"time"

	"jujubegate.example/jujubegate"
)

// Ranges of the fields of version moves.
const (
	// MaxProvingShare is the largest percentage of queries that go to a version
	// that has not been proven yet.
	MaxProvingShare = 5
	MaxShare        = 100
	MinMoveDeadline = time.Second
	MaxMoveDeadline = 30 * 24 * time.Hour
)

// Values of the fields OnMissed and State.
const (
	OnMissedTakeBack = "TakeBack"
	OnMissedContinue = "Continue"
	StateProving     = "Proving"
	StateShifting    = "Shifting"
	StateDone        = "Done"
	StateTakenBack   = "TakenBack"
)

// BringInVersion starts a move of a service to a version.
type BringInVersion struct {
	positions
	Name     jujubegate.Version
	Service  Field[jujubegate.Service]
	Share    Field[int]
	Deadline Field[Deadline]
	OnMissed Field[string]
}

func (s *BringInVersion) schema() schema {
	return schema{"BringIn", "Version", singleName(&s.Name), []binding{
		nameField("Service", &s.Service).asRequired(),
		integer("Share", &s.Share, 1, MaxProvingShare),
		deadline("Deadline", &s.Deadline, MinMoveDeadline, MaxMoveDeadline).asRequired(),
		choice("OnMissed", &s.OnMissed, OnMissedTakeBack, OnMissedContinue),
	}}
}

// String returns the statement in canonical form.
func (s *BringInVersion) String() string { return canonicalText(s.schema()) }

// AdvanceVersion changes the share, and optionally the state, of a running move.
type AdvanceVersion struct {
	positions
	Name    jujubegate.Version
	Service Field[jujubegate.Service]
	State   Field[string]
	Share   Field[int]
}

func (s *AdvanceVersion) schema() schema {
	return schema{"Advance", "Version", singleName(&s.Name), []binding{
		nameField("Service", &s.Service).asRequired(),
		choice("State", &s.State, StateProving, StateShifting),
		integer("Share", &s.Share, 0, MaxShare).asRequired(),
	}}
}

// String returns the statement in canonical form.
func (s *AdvanceVersion) String() string { return canonicalText(s.schema()) }

// FinishVersion ends a move. From then on only the new version serves.
type FinishVersion struct {
	positions
	Name    jujubegate.Version
	Service Field[jujubegate.Service]
}

func (s *FinishVersion) schema() schema {
	return schema{
		"Finish", "Version", singleName(&s.Name),
		[]binding{nameField("Service", &s.Service).asRequired()},
	}
}

// String returns the statement in canonical form.
func (s *FinishVersion) String() string { return canonicalText(s.schema()) }

// TakeBackVersion returns a service to its previous version.
type TakeBackVersion struct {
	positions
	Name    jujubegate.Version
	Service Field[jujubegate.Service]
	Reason  Field[string]
}

func (s *TakeBackVersion) schema() schema {
	return schema{"TakeBack", "Version", singleName(&s.Name), []binding{
		nameField("Service", &s.Service).asRequired(),
		reason(&s.Reason),
	}}
}

// String returns the statement in canonical form.
func (s *TakeBackVersion) String() string { return canonicalText(s.schema()) }

// SetDeadlineVersion changes the deadline of a running move.
type SetDeadlineVersion struct {
	positions
	Name     jujubegate.Version
	Service  Field[jujubegate.Service]
	Deadline Field[Deadline]
}

func (s *SetDeadlineVersion) schema() schema {
	return schema{"SetDeadline", "Version", singleName(&s.Name), []binding{
		nameField("Service", &s.Service).asRequired(),
		deadline("Deadline", &s.Deadline, MinMoveDeadline, MaxMoveDeadline).asRequired(),
	}}
}

// String returns the statement in canonical form.
func (s *SetDeadlineVersion) String() string { return canonicalText(s.schema()) }
