package http1

import (
	"net"
	"syscall"
)

// reusable tells whether a connection is open and nothing waits to be read: an idle
// connection with bytes on it carries an answer that nobody asked for.
func reusable(conn net.Conn) bool {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
