package main

import (
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
)

// written returns, for each connection to the searcher, how many bytes the gatherer has written to it so far: those
// that the searcher has read, and those that the system holds at either end. What the gatherer keeps in its own
// memory does not count.
func (s *searcher) written() (map[net.Conn]int, error) {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil, err
	}
	type ends struct{ local, remote string }
	type queues struct{ tx, rx int }
	sockets := make(map[ends]queues)
	for _, line := range strings.Split(string(text), "\n")[1:] {
		f := strings.Fields(line)
		if len(f) < 5 {
			continue
		}
		tx, rx, _ := strings.Cut(f[4], ":")
		unsent, err1 := strconv.ParseInt(tx, 16, 64)
		unread, err2 := strconv.ParseInt(rx, 16, 64)
		if err1 == nil && err2 == nil {
			sockets[ends{f[1], f[2]}] = queues{int(unsent), int(unread)}
		}
	}
	out := make(map[net.Conn]int)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, read := range s.conns {
		local, remote := procAddr(c.LocalAddr()), procAddr(c.RemoteAddr())
		out[c] = read + sockets[ends{local, remote}].rx + sockets[ends{remote, local}].tx
	}
	return out, nil
}

// procAddr returns an address in the form of /proc/net/tcp on little-endian machines, which all kinds of the
// project's machines are.
func procAddr(a net.Addr) string {
	tcp, ok := a.(*net.TCPAddr)
	if !ok {
		return ""
	}
	ip := tcp.IP.To4()
	return strings.ToUpper(hex.EncodeToString([]byte{ip[3], ip[2], ip[1], ip[0]})) + fmt.Sprintf(":%04X", tcp.Port)
}
