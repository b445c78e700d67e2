package http1

import (
	"net"
	"syscall"
)

// reusable reports whether an idle connection is open and has no unread data. Such
// data would be a response that no request is waiting for.
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
	var peeked [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
