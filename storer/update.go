package storer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
)

// Effect says whether a write took effect, as far as is known.
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

// ErrTokenMissing reports a value without the token of the write.
var ErrTokenMissing = errors.New("value does not carry the token of its writer")

// Modify returns the new value of an object. If the object does not exist,
// current has version 0 and a nil value. The new value must be a JSON object
// whose field Token is the token of the write.
type Modify func(current Object) ([]byte, error)

// TokenOf returns the field Token of a JSON object, or "" if it has none.
func TokenOf(value []byte) string {
	var v struct{ Token string }
	if json.Unmarshal(value, &v) != nil {
		return ""
	}
	return v.Token
}

// Update reads the object and writes the value that modify returns, on the
// condition that the object did not change in between. The error is nil if and
// only if the effect is Applied. The token must be unique to the call.
//
// If the response to the write is lost, the write is sent once more with the
// same condition. At most one of the two takes effect, and after a response to
// the second the first can no longer take effect. Unless the second succeeds,
// the object is read back and the tokens are compared. An equal token means
// Applied. A different token means EffectUnknown, because the other writer may
// have replaced the value either before or after this write. For objects that
// are written once, Create can tell these cases apart.
//
// The context must last for up to four calls: if it ends after the first write
// was sent, the object can't be read back and the effect is EffectUnknown. If
// the effect of a write to a missing object is unknown, the write may still
// take effect after another writer created and deleted the object.
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
// value of it keeps the token of its creator. The token of another writer then
// proves that this write was not applied: Create returns ErrConflict and the
// object of that writer. A call may be repeated with the same token; the effect
// is Applied if this or an earlier call with the token created the object.
func Create(ctx context.Context, s Store, key, token string, value []byte) (Object, Effect, error) {
	return write(ctx, s, key, token, value, 0, NotApplied)
}

// write puts the value and, if the response is lost, determines the effect.
// foreignEffect is the effect to report if the stored token is that of another
// writer.
func write(ctx context.Context, s Store, key, token string, value []byte, version int64, foreignEffect Effect) (Object, Effect, error) {
	if token == "" || TokenOf(value) != token {
		return Object{}, NotApplied, fmt.Errorf("%w: %q", ErrTokenMissing, key)
	}
	o, err := s.Put(ctx, key, value, version)
	if !errors.Is(err, ErrUnknown) {
		return resolveAnswered(ctx, s, o, key, token, foreignEffect, err)
	}
	if o, err = s.Put(ctx, key, value, version); err == nil {
		return o, Applied, nil
	}
	return readBack(ctx, s, key, token, foreignEffect)
}

// resolveAnswered returns the effect of a write that got a response to its
// first attempt.
func resolveAnswered(ctx context.Context, s Store, o Object, key, token string, foreignEffect Effect, err error) (Object, Effect, error) {
	if err == nil {
		return o, Applied, nil
	}
	if errors.Is(err, ErrConflict) && foreignEffect == NotApplied {
		// An earlier call with the same token may have created the object.
		return readBack(ctx, s, key, token, foreignEffect)
	}
	return o, NotApplied, err
}

// readBack compares the token of the stored object with that of the write.
func readBack(ctx context.Context, s Store, key, token string, foreignEffect Effect) (Object, Effect, error) {
	o, err := s.Get(ctx, key)
	switch {
	case err != nil:
		return Object{}, EffectUnknown, fmt.Errorf("%w: reading %q back: %w", ErrUnknown, key, err)
	case TokenOf(o.Value) == token:
		return o, Applied, nil
	case foreignEffect == NotApplied:
		return o, NotApplied, fmt.Errorf("%w: %q belongs to another writer", ErrConflict, key)
	}
	return o, EffectUnknown, fmt.Errorf("%w: %q has another token", ErrUnknown, key)
}
