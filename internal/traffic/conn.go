package traffic

import (
	"context"
	"io"
	"net"
)

// conn wraps a TCP connection and counts its bytes. It embeds *net.TCPConn so that callers can still use socket methods
// such as SyscallConn.
type conn struct {
	*net.TCPConn
	counts *trafficCounts
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.counts.got.Add(int64(n))
	return n, err //nolint:wrapcheck // callers compare the connection's own error
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.counts.sent.Add(int64(n))
	return n, err //nolint:wrapcheck // as above
}

// ReadFrom implements io.ReaderFrom. io.Copy calls it in place of Write, so it has to count as well.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	n, err := c.TCPConn.ReadFrom(r)
	c.counts.sent.Add(n)
	return n, err //nolint:wrapcheck // as above
}

// WriteTo implements io.WriterTo. io.Copy calls it in place of Read, so it has to count as well.
func (c *conn) WriteTo(w io.Writer) (int64, error) {
	n, err := c.TCPConn.WriteTo(w)
	c.counts.got.Add(n)
	return n, err //nolint:wrapcheck // as above
}

// Dialer opens a connection to an address, as net.Dialer.DialContext does.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// CountingDialer wraps a dialer so that the connections it opens and their bytes are counted under a kind.
func (c *Counter) CountingDialer(k Kind, next Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n, err := next(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return c.CountConn(k, address, n), nil
	}
}
