package storer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
)

// Effect says what is known about a write.
type Effect int

// Effects of a write.
const (
	EffectUnknown Effect = iota
	Applied
	NotApplied
)

// String returns the name of the effect.
func (e Effect) String() string {
	switch e {
	case Applied:
		return "Applied"
	case NotApplied:
		return "NotApplied"
	default:
		return "Unknown"
	}
}

// ErrTokenMissing reports that modify returned a value without the token.
var ErrTokenMissing = errors.New("value does not carry the token of its writer")

// Modify returns the next value of an object. Current has version 0 and a nil
// value if the object does not exist. The value returned must be a JSON object
// whose field Token is the token of the write.
type Modify func(current Object) ([]byte, error)

// TokenOf returns the field Token of a JSON object, or "" if there is none.
func TokenOf(value []byte) string {
	var v struct{ Token string }
	if json.Unmarshal(value, &v) != nil {
		return ""
	}
	return v.Token
}

// Update reads the object, and writes the value that modify returns on the
// condition that the object is unchanged. The error is nil if and only if the
// effect is Applied. The token must be unique to the call.
//
// If the answer to the write is lost, the write is sent once more with the
// same condition: at most one of the two takes effect, and once the second is
// answered the first can't take effect any longer. The object is then read
// back and the tokens are compared. An equal token means Applied. Another
// token means EffectUnknown, as another writer may have replaced the value
// either before or after this write. For objects that are written once, Create
// knows more.
//
// The context must outlast up to four calls: if it ends after the first write
// was sent, nothing can be read back and the effect is EffectUnknown. A write
// to a missing object whose effect is unknown may still take effect after
// another writer created and deleted the object.
func Update(ctx context.Context, s Store, key, token string, modify Modify) (Object, Effect, error) {
	current, err := s.Get(ctx, key)
	if errors.Is(err, ErrNotFound) {
		current, err = Object{Key: key}, nil
	}
	if err != nil {
		return Object{}, NotApplied, err
	}
	value, err := modify(current)
	if err != nil {
		return current, NotApplied, err
	}
	return write(ctx, s, key, token, value, current.Version, EffectUnknown)
}

// Create writes the value on the condition that the object does not exist. It
// requires that an object with this key is never deleted and that every later
// value of it keeps the token of its creator. A foreign token then proves that
// the write was not applied: the error is ErrConflict and the object is that
// of the winner. A call may be repeated with the same token: it is Applied if
// this or an earlier call with the token created the object.
func Create(ctx context.Context, s Store, key, token string, value []byte) (Object, Effect, error) {
	return write(ctx, s, key, token, value, 0, NotApplied)
}

// write puts the value and resolves a lost answer. Foreign is the effect that
// a foreign token proves.
func write(ctx context.Context, s Store, key, token string, value []byte, version int64, foreign Effect) (Object, Effect, error) {
	if token == "" || TokenOf(value) != token {
		return Object{}, NotApplied, fmt.Errorf("%w: %q", ErrTokenMissing, key)
	}
	o, err := s.Put(ctx, key, value, version)
	if !errors.Is(err, ErrUnknown) {
		return answered(ctx, s, o, key, token, foreign, err)
	}
	if o, err = s.Put(ctx, key, value, version); err == nil {
		return o, Applied, nil
	}
	return readBack(ctx, s, key, token, foreign)
}

// answered returns the effect of a write whose first answer arrived.
func answered(ctx context.Context, s Store, o Object, key, token string, foreign Effect, err error) (Object, Effect, error) {
	if err == nil {
		return o, Applied, nil
	}
	if errors.Is(err, ErrConflict) && foreign == NotApplied {
		// The object may stem from an earlier call with the same token.
		return readBack(ctx, s, key, token, foreign)
	}
	return o, NotApplied, err
}

// readBack compares the token of the stored object with that of the write.
func readBack(ctx context.Context, s Store, key, token string, foreign Effect) (Object, Effect, error) {
	o, err := s.Get(ctx, key)
	switch {
	case err != nil:
		return Object{}, EffectUnknown, fmt.Errorf("%w: reading %q back: %w", ErrUnknown, key, err)
	case TokenOf(o.Value) == token:
		return o, Applied, nil
	case foreign == NotApplied:
		return o, NotApplied, fmt.Errorf("%w: %q belongs to another writer", ErrConflict, key)
	}
	return o, EffectUnknown, fmt.Errorf("%w: %q has another token", ErrUnknown, key)
}
