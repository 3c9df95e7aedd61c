package configurator

import (
	"maps"
	"slices"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/parser"
)

// maxRecentChanges is the number of changes that are kept for peers, and whose
// tokens are kept to recognise a proposal that is resent.
const maxRecentChanges = 256

// maxRecentBytes bounds the memory for recent changes. 256 batches of the
// maximum size would take 128 MB, four times the memory budget of an instance.
const maxRecentBytes = 4 << 20

// state is an immutable configuration with the changes that led to it.
type state struct {
	configuration Configuration
	// recent holds the latest changes, without gaps, up to the current generation.
	recent []Change
	// tokens maps the tokens of the last maxRecentChanges changes to generations.
	tokens map[string]jujubegate.Generation
}

// apply returns the state after a change.
func (s *state) apply(change Change) (*state, error) {
	if isSnapshotText(change.Statements) {
		c, tokens, err := Restore(change.Statements)
		if err != nil {
			return s, err
		}
		return &state{configuration: c, tokens: tokens}, nil
	}
	c, err := s.configuration.With(change)
	if err != nil {
		return s, err
	}
	tokens := maps.Clone(s.tokens)
	if tokens == nil {
		tokens = make(map[string]jujubegate.Generation)
	}
	maps.DeleteFunc(tokens, func(_ string, g jujubegate.Generation) bool {
		return g <= change.Generation-maxRecentChanges
	})
	tokens[change.Token] = change.Generation
	return &state{configuration: c, recent: trimRecent(append(slices.Clone(s.recent), change)), tokens: tokens}, nil
}

// trimRecent returns the newest changes within both limits, at least the last one.
func trimRecent(changes []Change) []Change {
	first, size := len(changes)-1, len(changes[len(changes)-1].Statements)
	for first > 0 && len(changes)-first < maxRecentChanges {
		size += len(changes[first-1].Statements)
		if size > maxRecentBytes {
			break
		}
		first--
	}
	return changes[first:]
}

// recentChange returns the change of a generation if it is among the recent
// ones.
func (s *state) recentChange(g jujubegate.Generation) (Change, bool) {
	i := len(s.recent) - 1 - int(s.configuration.generation-g)
	if i < 0 || i >= len(s.recent) {
		return Change{}, false
	}
	return s.recent[i], true
}

// after returns the changes after a generation. If not all of them are kept, it
// returns a snapshot of the whole configuration as one change.
func (s *state) after(g jujubegate.Generation) []Change {
	missing := int(s.configuration.generation - g)
	switch {
	case missing <= 0:
		return nil
	case missing <= len(s.recent):
		return slices.Clone(s.recent[len(s.recent)-missing:])
	}
	return []Change{s.snapshot()}
}

// snapshotAuthor is the Author of changes that hold a snapshot.
const snapshotAuthor = "snapshot"

// snapshot returns the state as a change that any follower can apply.
func (s *state) snapshot() Change {
	statements := s.configuration.Statements()
	for _, token := range slices.Sorted(maps.Keys(s.tokens)) {
		statements = append(statements, &parser.RestoreToken{
			Token: token, Generation: parser.Given(int(s.tokens[token])),
		})
	}
	return Change{
		Generation: s.configuration.generation, Author: snapshotAuthor, Statements: parser.Join(statements),
	}
}
