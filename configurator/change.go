package configurator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/parser"
	"jujubegate.example/jujubegate/storer"
)

// Keys of the store.
const (
	changePrefix = "Changes/"
	snapshotKey  = "Configuration"
)

// Change is one accepted batch of statements, or a snapshot.
type Change struct {
	Generation jujubegate.Generation
	// Author names the operator or the component that proposed the change.
	Author string
	// Token is unique to the proposal and stays the same when it is resent.
	Token string
	// At is the time of the proposal by the proposer's clock, in UTC and whole
	// microseconds; durations in the statements count from it.
	At time.Time
	// Statements is the text of the batch or of the snapshot.
	Statements string
}

// Equal reports whether both are the same change.
func (c Change) Equal(other Change) bool {
	return c.Generation == other.Generation && c.Author == other.Author && c.Token == other.Token &&
		c.At.Equal(other.At) && c.Statements == other.Statements
}

// changeKey returns the key of the object that holds the change of a
// generation. Zero padding makes the key order equal the numeric order.
func changeKey(g jujubegate.Generation) string { return fmt.Sprintf("%s%020d", changePrefix, int64(g)) }

// encode returns the change as JSON.
func (c Change) encode() ([]byte, error) {
	var value bytes.Buffer
	encoder := json.NewEncoder(&value)
	encoder.SetEscapeHTML(false) // an escaped "<" takes six bytes
	if err := encoder.Encode(c); err != nil {
		return nil, fmt.Errorf("encode change %d: %w", c.Generation, err)
	}
	return bytes.TrimSuffix(value.Bytes(), []byte("\n")), nil
}

// decodeChange returns the change that an object holds, and checks that the key
// matches its generation.
func decodeChange(o storer.Object) (Change, error) {
	var c Change
	if err := json.Unmarshal(o.Value, &c); err != nil {
		return Change{}, fmt.Errorf("decode object %s: %w", o.Key, err)
	}
	if o.Key != snapshotKey && o.Key != changeKey(c.Generation) {
		return Change{}, fmt.Errorf("object %s holds generation %d", o.Key, c.Generation)
	}
	return c, nil
}

// With returns the configuration after a change. The change must have the next
// generation.
func (c Configuration) With(change Change) (Configuration, error) {
	if change.Generation != c.generation+1 {
		return c, &GapError{Have: c.generation, Received: change.Generation}
	}
	batch, findings := parser.ParseWithLimit(changeKey(change.Generation), change.Statements, storer.MaxValueSize)
	if len(findings) > 0 {
		return c, findings
	}
	next, findings := c.Apply(batch, change.At)
	if len(findings) > 0 {
		return c, findings
	}
	if next.generation != change.Generation {
		return c, fmt.Errorf("change %d has no statement that changes anything", change.Generation)
	}
	return next, nil
}
