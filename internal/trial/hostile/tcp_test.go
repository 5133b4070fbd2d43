package hostile

import (
	"io"
	"net"
	"testing"
	"time"
)

// A client that reads an error or a close long after it has arrived would count its own delay as the gatherer's.
func TestEndCountsFromItsArrival(t *testing.T) {
	const delay = 300 * time.Millisecond
	const failure = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"
	read := func(s *session) { go s.readAnswers() }
	for name, c := range map[string]struct {
		sent   string
		closes bool
		notice func(*session)
		ends   bool
	}{
		"an error that is read late":          {failure, false, read, true},
		"a close that is read late":           {"", true, read, true},
		"an error that is never read":         {failure, false, (*session).stop, true},
		"a close that is never read":          {"", true, (*session).stop, true},
		"an error behind a part of an answer": {"of a body" + failure, false, (*session).stop, true},
		"an answer that is no error, unread":  {"HTTP/1.1 200 OK\r\n\r\n", false, (*session).stop, false},
		"nothing, and closed by the client":   {"", false, (*session).stop, false},
		"a start of an answer, and no status": {"HTTP/1.1 ", false, (*session).stop, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client, server := connect(t)
			_, _ = io.WriteString(server, c.sent)
			if c.closes {
				_ = server.Close()
			}
			sent := time.Now()
			time.Sleep(delay)
			s := &session{Conn: client, attacker: &attacker{report: Report{Answers: make(map[int]int)}}, ended: make(chan struct{})}
			c.notice(s)
			if !c.ends {
				select {
				case <-s.ended:
					t.Error("this counts as an error or a close of the gatherer")
				default:
				}
				return
			}
			select {
			case <-s.ended:
			case <-time.After(5 * time.Second):
				t.Fatal("no error or close")
			}
			if late := s.endedAt.Sub(sent); late > delay/2 {
				t.Errorf("it counts as received %v after it was sent, want under %v", late, delay/2)
			}
		})
	}
}

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (client, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if client, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return client, server
}
