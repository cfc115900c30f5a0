package traffic

import (
	"context"
	"io"
	"net"
)

// conn counts the bytes of a connection. It stays a TCP connection for those that look into its socket.
type conn struct {
	*net.TCPConn
	cell *cell
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.cell.got.Add(int64(n))
	return n, err //nolint:wrapcheck // the error of the connection itself, which its users look into
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.cell.sent.Add(int64(n))
	return n, err //nolint:wrapcheck // as above
}

// ReadFrom implements io.ReaderFrom, which TCP connections offer beside Write.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	n, err := c.TCPConn.ReadFrom(r)
	c.cell.sent.Add(n)
	return n, err //nolint:wrapcheck // as above
}

// WriteTo implements io.WriterTo, which TCP connections offer beside Read.
func (c *conn) WriteTo(w io.Writer) (int64, error) {
	n, err := c.TCPConn.WriteTo(w)
	c.cell.got.Add(n)
	return n, err //nolint:wrapcheck // as above
}

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// CountingDialer returns a dialer whose connections are counted.
func (c *Counter) CountingDialer(k Kind, next Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n, err := next(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return c.CountConn(k, address, n), nil
	}
}
