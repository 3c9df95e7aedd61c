package screener

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// keyBytes is the length of a key. Two requests with the same key would be taken for
// one, so that it must be long enough for no two ever to have it by chance.
const keyBytes = 16

// Key identifies a request that is sent again: the same method, host, path with query
// and body give the same key at each instance. Headers do not count, as an ID and a
// time budget differ each time.
type Key [keyBytes]byte

// KeyOf returns the key of a request.
func KeyOf(method, host, uri string, body []byte) Key {
	h := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(method), []byte(host), []byte(uri), body} {
		// The length before each part keeps parts from running into each other.
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }
