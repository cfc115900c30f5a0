package dial

import "net"

// SocketBufferBytes bounds the send and the receive buffer of a connection that carries requests. The system allocates
// twice that for its bookkeeping. Unbounded, Linux grows them to as much as 4 MB and 6 to 32 MB for a peer that reads
// slowly. On a path of 6 ms, the longest of today's platforms, 128 KB in transit allow 21 MB/s for each connection.
const SocketBufferBytes = 128 << 10

// LimitSocketBuffers bounds the socket buffers of a connection, if it has any.
func LimitSocketBuffers(c net.Conn) {
	s, ok := c.(interface {
		SetReadBuffer(bytes int) error
		SetWriteBuffer(bytes int) error
	})
	if !ok {
		return
	}
	_ = s.SetReadBuffer(SocketBufferBytes)
	_ = s.SetWriteBuffer(SocketBufferBytes)
}
