package parser

import (
	"time"

	"jujubegate.example/jujubegate"
)

// Ranges of the fields of version moves.
const (
	// MaxProvingShare is the largest percentage of queries that go to a
	// version that has not proved itself.
	MaxProvingShare = 5
	MaxShare        = 100
	MinMoveDeadline = time.Second
	MaxMoveDeadline = 30 * 24 * time.Hour
)

// Words of the fields OnMissed and State.
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
	node
	Name     jujubegate.Version
	Service  Field[jujubegate.Service]
	Share    Field[int]
	Deadline Field[Deadline]
	OnMissed Field[string]
}

func (s *BringInVersion) shape() shape {
	return shape{"BringIn", "Version", single(&s.Name), []binding{
		word("Service", &s.Service).must(),
		integer("Share", &s.Share, 1, MaxProvingShare),
		limit("Deadline", &s.Deadline, MinMoveDeadline, MaxMoveDeadline).must(),
		choice("OnMissed", &s.OnMissed, OnMissedTakeBack, OnMissedContinue),
	}}
}

// String returns the statement in canonical form.
func (s *BringInVersion) String() string { return format(s.shape()) }

// AdvanceVersion changes the share of a running move.
type AdvanceVersion struct {
	node
	Name    jujubegate.Version
	Service Field[jujubegate.Service]
	State   Field[string]
	Share   Field[int]
}

func (s *AdvanceVersion) shape() shape {
	return shape{"Advance", "Version", single(&s.Name), []binding{
		word("Service", &s.Service).must(),
		choice("State", &s.State, StateProving, StateShifting),
		integer("Share", &s.Share, 0, MaxShare).must(),
	}}
}

// String returns the statement in canonical form.
func (s *AdvanceVersion) String() string { return format(s.shape()) }

// FinishVersion ends a move: the new version serves alone.
type FinishVersion struct {
	node
	Name    jujubegate.Version
	Service Field[jujubegate.Service]
}

func (s *FinishVersion) shape() shape {
	return shape{
		"Finish", "Version", single(&s.Name),
		[]binding{word("Service", &s.Service).must()},
	}
}

// String returns the statement in canonical form.
func (s *FinishVersion) String() string { return format(s.shape()) }

// TakeBackVersion returns a service to the version before.
type TakeBackVersion struct {
	node
	Name    jujubegate.Version
	Service Field[jujubegate.Service]
	Reason  Field[string]
}

func (s *TakeBackVersion) shape() shape {
	return shape{"TakeBack", "Version", single(&s.Name), []binding{
		word("Service", &s.Service).must(),
		reason(&s.Reason),
	}}
}

// String returns the statement in canonical form.
func (s *TakeBackVersion) String() string { return format(s.shape()) }

// SetDeadlineVersion changes the deadline of a running move.
type SetDeadlineVersion struct {
	node
	Name     jujubegate.Version
	Service  Field[jujubegate.Service]
	Deadline Field[Deadline]
}

func (s *SetDeadlineVersion) shape() shape {
	return shape{"SetDeadline", "Version", single(&s.Name), []binding{
		word("Service", &s.Service).must(),
		limit("Deadline", &s.Deadline, MinMoveDeadline, MaxMoveDeadline).must(),
	}}
}

// String returns the statement in canonical form.
func (s *SetDeadlineVersion) String() string { return format(s.shape()) }
