package hostile

import (
	"io"
	"net"
	"testing"
	"time"
)

// A client that reads an error long after it has arrived would count its own delay as the gatherer's.
func TestErrorCountsFromItsArrival(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	_, _ = io.WriteString(server, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
	written := time.Now()
	const readDelay = 300 * time.Millisecond
	time.Sleep(readDelay)
	s := &session{Conn: client, attacker: &attacker{report: Report{Answers: make(map[int]int)}}, ended: make(chan struct{})}
	go s.readAnswers()
	<-s.ended
	if late := s.endedAt.Sub(written); late > readDelay/2 {
		t.Errorf("the error counts as received %v after it was sent, want under %v", late, readDelay/2)
	}
}
