package http1

import (
	"net"
	"syscall"
)

// reusable reports whether an idle connection is open and has no unread data, and
// whether it has such data: a response that no request is waiting for.
func reusable(conn net.Conn) (ok, unread bool) {
	source, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return true, false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false, false
	}
	open := false
	var peeked [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open, unread = err == syscall.EAGAIN, n > 0
		return true
	})
	return err == nil && open, unread
}
