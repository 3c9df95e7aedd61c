// Package accountant counts the bytes on connections, those to another data centre
// apart, since traffic between data centres is billed.
package accountant

import (
	"net"

	"jujubegate.example/jujubegate/recorder"
)

// Account counts the bytes of one kind of connection in both directions.
type Account struct {
	// Total counts all bytes, Far those to and from other data centres.
	Total, Far *recorder.Counter
}

// Open returns the connection with its bytes counted. Far says whether its other end
// is in another data centre.
func (a Account) Open(c net.Conn, far bool) net.Conn { return &countedConn{c, a, far} }

type countedConn struct {
	net.Conn
	account Account
	far     bool
}

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n)
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(n)
	return n, err
}

func (c *countedConn) count(n int) {
	c.account.Total.Add(int64(n))
	if c.far {
		c.account.Far.Add(int64(n))
	}
}
