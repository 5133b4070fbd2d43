package hostile

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"
)

// trickleInterval is the time between two bytes of a client that has nearly stopped.
const trickleInterval = 200 * time.Millisecond

// trickle sends a byte each trickleInterval until the connection ends.
func (s *session) trickle(ctx context.Context) {
	go s.readAnswers()
	for {
		select {
		case <-s.ended:
			return
		case <-time.After(trickleInterval):
		}
		if _, err := io.WriteString(s, "x"); err != nil || ctx.Err() != nil {
			return
		}
	}
}

// sendAndTrickle sends the client's request and then trickles.
func sendAndTrickle(ctx context.Context, s *session) {
	_ = s.send(s.next())
	s.trickle(ctx)
}

func stalledBody(s *session, _ int) message {
	body := s.attacker.body
	head := requestHead("search", s.name, "", len(body))
	return message{head, body[:(len(head)+len(body))/10*9-len(head)]}
}

func sendPieces(ctx context.Context, s *session) {
	const piece, pieces = 1500, 42
	go s.readAnswers()
	text := request("search", s.name, "", queryBody(s.rng.IntN(s.attacker.Segments), 4, s.attacker.Segments, largeText))
	for len(text) > 0 {
		n := min(piece, len(text))
		if _, err := io.WriteString(s, text[:n]); err != nil {
			return
		}
		text = text[n:]
		if !sleep(ctx, time.Second/pieces) {
			return
		}
	}
	select {
	case <-s.ended:
	case <-ctx.Done():
	case <-time.After(UsualWait):
	}
}

func shortFields(s *session, _ int) message {
	head := fmt.Sprintf("POST /search HTTP/1.1\r\nX-Trace-Id: %s\r\nX-Qos: search\r\nContent-Length: %d\r\n", s.name, largestBody)
	head += strings.Repeat("a:\r\n", (largestHead-len(head)-2)/4) + "\r\n"
	return message{head: head + strings.Repeat("x", largestBody/2)}
}

func longHead(*session, int) message {
	return message{head: "POST /search HTTP/1.1\r\nX: " + strings.Repeat("x", largestHead-64)}
}

func shortHead(*session, int) message { return message{head: "POST /search HTTP/1.1\r\nX: "} }

func tinyChunks(s *session, _ int) message {
	return message{head: fmt.Sprintf("POST /search HTTP/1.1\r\nX-Trace-Id: %s\r\nX-Qos: search\r\nTransfer-Encoding: chunked\r\n\r\n%s",
		s.name, strings.Repeat("1;xxxxx\r\nx\r\n", largestBody/8))}
}

// converse sends requests one after the other, each once the one before is answered, until the connection ends.
func converse(ctx context.Context, s *session) {
	answered := make(chan struct{}, 1)
	go func() {
		defer close(answered)
		s.readEach(func() { answered <- struct{}{} })
	}()
	for ctx.Err() == nil {
		if err := s.send(s.next()); err != nil {
			return
		}
		if _, open := <-answered; !open {
			return
		}
	}
}

// sharedQuery returns a query with the body that all requests of the attack have.
func sharedQuery(s *session, number int) message {
	return message{requestHead("search", s.requestName(number), "", len(s.attacker.body)), s.attacker.body}
}

func newTenant(s *session, number int) message {
	name := s.requestName(number)
	fields := fmt.Sprintf("X-Customer: %s\r\nCookie: user=%s\r\nIdempotency-Key: %s\r\n", name, name, name)
	return message{head: request("reserve", name, fields, queryBody(s.rng.IntN(s.attacker.Segments), 1, s.attacker.Segments, 0))}
}

// requestsPerWrite is how many requests a client that floods sends in one write.
const requestsPerWrite = 50

// flood sends requests at full speed until the connection ends, some in one write, and reads all answers. It is two writes
// ahead of the answers: further ahead, the answers would wait in the system's buffers until this process reads them.
func flood(ctx context.Context, s *session) {
	const writesAhead = 2
	answered := make(chan struct{}, writesAhead)
	go func() {
		defer close(answered)
		count := 0
		s.readEach(func() {
			if count++; count%requestsPerWrite == 0 {
				answered <- struct{}{}
			}
		})
	}()
	for writes := 0; ctx.Err() == nil; writes++ {
		if err := s.send(s.next()); err != nil {
			return
		}
		if writes < writesAhead {
			continue
		}
		if _, open := <-answered; !open {
			return
		}
	}
}

// oneWrite returns a function that joins the requests of one write. Numbers of requests count from 1 on, as those of writes do.
func oneWrite(request func(s *session, number int) string) func(*session, int) message {
	return func(s *session, write int) message {
		var text strings.Builder
		for i := range requestsPerWrite {
			text.WriteString(request(s, (write-1)*requestsPerWrite+i+1))
		}
		return message{head: text.String()}
	}
}

func health(*session, int) string { return healthRequest }

func unsoundQuery(s *session, number int) string {
	return request("search", s.requestName(number), "", `{"tablets":[{"tablet":0,"fraction":0.5}],"statement":"x"}`)
}

func newClass(s *session, number int) string {
	return request(s.requestName(number), s.requestName(number), "", queryBody(0, 4, s.attacker.Segments, 0))
}

func ignoreAnswers(ctx context.Context, s *session) {
	number := 0
	for ctx.Err() == nil {
		number++
		text := strings.Repeat(healthRequest, 50) + request("search", s.requestName(number), "", queryBody(0, 4, s.attacker.Segments, 0))
		if _, err := io.WriteString(s, text); err != nil {
			return
		}
	}
}

func pipeline(ctx context.Context, s *session) {
	const pipelined = 80 << 10
	text := ""
	for i := 0; len(text) < pipelined; i++ {
		text += request("search", s.requestName(i), "", queryBody(0, 4, s.attacker.Segments, 0))
	}
	go s.readAnswers()
	if _, err := io.WriteString(s, text); err != nil {
		return
	}
	select {
	case <-s.ended:
	case <-ctx.Done():
	}
}

// leave sends 100 to 400 queries at once and closes the connection at once, with FIN or RST.
func leave(ctx context.Context, s *session) {
	text := ""
	for i := range 100 + s.rng.IntN(300) {
		text += request("search", s.requestName(i), "", queryBody(s.rng.IntN(s.attacker.Segments), 4, s.attacker.Segments, 0))
	}
	_, _ = io.WriteString(s, text)
	closeEither(s.rng, s)
	s.markLeft()
	sleep(ctx, 20*time.Millisecond)
}

// markLeft records that the client has closed its connection.
func (s *session) markLeft() {
	s.attacker.mu.Lock()
	defer s.attacker.mu.Unlock()
	s.attacker.report.Left[s.name] = time.Now()
}

func closeEither(rng *rand.Rand, s *session) {
	if rng.IntN(2) == 0 {
		reset(s.Conn)
	}
	_ = s.Close()
}

func churn(_ context.Context, s *session) {
	if s.rng.IntN(2) == 0 {
		_, _ = io.WriteString(s, healthRequest[:s.rng.IntN(len(healthRequest))])
	}
	closeEither(s.rng, s)
}

func stayWithoutRequest(_ context.Context, s *session) { s.readAnswers() }
