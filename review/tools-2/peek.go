package main

import "syscall"

// peekEOF reports whether the peer has closed the connection. It takes nothing from the stream. The
// client sends nothing before it closes, or its request, which MSG_PEEK shows first; the state of
// the socket tells about the close in both cases.
func peekEOF(fd uintptr) bool {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err == nil && n == 0 {
		return true
	}
	info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpInfo)
	return err == nil && info&0xff == tcpCloseWait
}

const (
	tcpInfo      = 11 // TCP_INFO: its first byte is the state
	tcpCloseWait = 8
)
